// Polls the platform's instance list.
//
// When the list cannot be read, the last one stays in effect: an outage of the
// platform must not make instances disappear.
#ifndef THORNPLANK_INSTANCES_INSTANCE_WATCHER_H_
#define THORNPLANK_INSTANCES_INSTANCE_WATCHER_H_

#include <functional>
#include <memory>

#include "base/time.h"
#include "platform/instance_list_client.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct InstanceWatcherSettings {
  Milliseconds interval{1000};
  Milliseconds timeout{2000};
};

class InstanceWatcher {
 public:
  using Handler = std::function<void(const InstanceList&)>;

  // `on_list` runs for every list read; calls do not overlap.
  InstanceWatcher(boost::asio::io_context& io, InstanceListClient& client,
                  InstanceWatcherSettings settings, Handler on_list);
  ~InstanceWatcher();

  void Start();
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_INSTANCES_INSTANCE_WATCHER_H_
