// One entry: owns its components and connects them with each other.
#ifndef THORNPLANK_APP_THORNPLANK_ENTRY_ENTRY_PROCESS_H_
#define THORNPLANK_APP_THORNPLANK_ENTRY_ENTRY_PROCESS_H_

#include <functional>
#include <memory>

#include "base/error.h"
#include "settings/entry_settings.h"

namespace thornplank {

class EntryProcess {
 public:
  explicit EntryProcess(EntrySettings settings);
  ~EntryProcess();

  // Returns false and sets `*error` if an address cannot be listened on;
  // nothing runs then. `on_fatal_error` is called at most once, on another
  // thread, if this entry must not continue because another live entry has its
  // name.
  bool Start(std::function<void(const Error& error)> on_fatal_error,
             Error* error);
  // Graceful shutdown: reports not ready, resigns if it is the coordinator, and
  // completes the requests in flight. Returns false if some were still in
  // flight at the drain timeout.
  bool Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_APP_THORNPLANK_ENTRY_ENTRY_PROCESS_H_
