// One entry on the users' platform: wires callers, store, workers and the
// scheduler together, on one loop.
//
// The instances have a quarter of a core, so the loop has one thread and its
// tables need no locks.
#ifndef THORNPLANK_APP_THORNPLANK_HOSTED_HOSTED_PROCESS_H_
#define THORNPLANK_APP_THORNPLANK_HOSTED_HOSTED_PROCESS_H_

#include <functional>
#include <memory>

#include "base/error.h"
#include "settings/hosted_settings.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

class HostedProcess {
 public:
  HostedProcess(boost::asio::io_context& io, HostedSettings settings);
  ~HostedProcess();

  // Listens and begins to follow the store. False when an address is taken.
  bool Start(Error* error);
  // Graceful shutdown: not ready at once, the lead given back, what was read
  // answered; then `done` runs.
  void Stop(std::function<void()> done);
  // The settings file has changed.
  void Reload(const HostedSettings& settings);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_APP_THORNPLANK_HOSTED_HOSTED_PROCESS_H_
