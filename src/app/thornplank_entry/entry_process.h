// Wires the libraries of one entry: who tells whom of what.
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

  // False and `*error` when an address cannot be listened on; nothing runs
  // then.
  // `on_unusable` runs once, on another thread, when this entry must not go on
  // as it is configured: a live entry has its name. `error` says why.
  bool Start(std::function<void(const Error& error)> on_unusable, Error* error);
  // Graceful shutdown: readiness off, the coordinator resigns, requests in
  // flight are finished. False when some were not by the drain timeout.
  bool Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_APP_THORNPLANK_ENTRY_ENTRY_PROCESS_H_
