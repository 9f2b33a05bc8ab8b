// One entry on the users' platform: connects the service for callers, the
// store, the workers and the scheduler.
//
// Must be used on the thread that runs the io_context. The instances have a
// quarter of a core, so one thread is enough and shared state needs no locks.
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

  // Opens the listening sockets and starts to read the store. Returns false and
  // sets `*error` if an address cannot be listened on.
  bool Start(Error* error);
  // Graceful shutdown: reports not ready at once, releases leadership, answers
  // the requests that were received, then calls `done`.
  void Stop(std::function<void()> done);
  // Applies `settings`, read from the changed file, as far as they take effect
  // without a restart.
  void Reload(const HostedSettings& settings);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_APP_THORNPLANK_HOSTED_HOSTED_PROCESS_H_
