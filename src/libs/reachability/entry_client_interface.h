// Interface for HTTP calls from one entry to another; tests replace it.
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

  // Fetches from the entry at `address` how long ago its most recent complete
  // read of the store began. `done` runs once, on the event loop of this entry,
  // and gets nullopt when there is no valid answer within `timeout`.
  virtual void FetchStoreAge(
      const std::string& address, Milliseconds timeout,
      std::function<void(std::optional<Milliseconds>)> done) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_REACHABILITY_ENTRY_CLIENT_INTERFACE_H_
