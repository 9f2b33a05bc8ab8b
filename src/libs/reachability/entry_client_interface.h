// What one entry asks another.
#ifndef THORNPLANK_REACHABILITY_ENTRY_CLIENT_INTERFACE_H_
#define THORNPLANK_REACHABILITY_ENTRY_CLIENT_INTERFACE_H_

#include <functional>
#include <optional>
#include <string>

#include "base/time.h"

namespace thornplank {

class EntryClientInterface {
 public:
  virtual ~EntryClientInterface() = default;

  // How long ago the last whole read of the store began there; nullopt without
  // an answer. `done` runs once, on the loop that the entry runs on.
  virtual void FetchStoreAge(
      const std::string& address, Milliseconds timeout,
      std::function<void(std::optional<Milliseconds>)> done) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_REACHABILITY_ENTRY_CLIENT_INTERFACE_H_
