// What one entry asks another.
#ifndef THORNPLANK_OUTLOOK_ENTRY_CALLS_H_
#define THORNPLANK_OUTLOOK_ENTRY_CALLS_H_

#include <functional>
#include <optional>
#include <string>

#include "base/time.h"

namespace thornplank {

class EntryCalls {
 public:
  virtual ~EntryCalls() = default;

  // How long ago the last whole read of the store began there; nullopt without
  // an answer. `done` runs once, on the loop that the entry runs on.
  virtual void AskStoreAge(
      const std::string& address, Milliseconds timeout,
      std::function<void(std::optional<Milliseconds>)> done) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_OUTLOOK_ENTRY_CALLS_H_
