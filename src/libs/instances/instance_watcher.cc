// Polls the list: one read at a time, with a pause after each.
#include "instances/instance_watcher.h"

#include <atomic>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "logging/events/instance_events.h"

namespace thornplank {

class InstanceWatcher::Impl
    : public std::enable_shared_from_this<InstanceWatcher::Impl> {
 public:
  Impl(boost::asio::io_context& io, InstanceListClient& client,
       InstanceWatcherSettings settings, Handler on_list)
      : strand_(boost::asio::make_strand(io)),
        timer_(strand_),
        client_(client),
        settings_(settings),
        on_list_(std::move(on_list)) {}

  void Start() {
    boost::asio::post(strand_, [self = shared_from_this()] { self->Read(); });
  }

  void Stop() {
    stopped_ = true;
    boost::asio::post(strand_,
                      [self = shared_from_this()] { self->timer_.cancel(); });
  }

 private:
  void Read() {
    if (stopped_) return;
    client_.Read(settings_.timeout,
                 [self = shared_from_this()](std::optional<InstanceList> list,
                                             const Error& error) {
                   boost::asio::post(self->strand_, [self, list, error] {
                     self->OnRead(list, error);
                   });
                 });
  }

  void OnRead(const std::optional<InstanceList>& list, const Error& error) {
    if (stopped_) return;
    if (list.has_value()) {
      if (!reachable_) {
        LogEvent(events::kInstanceListReachable,
                 {{"instances", list->instances.size()}});
      }
      on_list_(*list);
    } else if (reachable_) {
      LogEvent(events::kInstanceListUnreachable, error);
    }
    reachable_ = list.has_value();
    timer_.expires_after(settings_.interval);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) self->Read();
        });
  }

  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  // Used on the strand only, like reachable_.
  boost::asio::steady_timer timer_;
  InstanceListClient& client_;
  const InstanceWatcherSettings settings_;
  const Handler on_list_;
  bool reachable_ = false;
  std::atomic<bool> stopped_{false};
};

InstanceWatcher::InstanceWatcher(boost::asio::io_context& io,
                                 InstanceListClient& client,
                                 InstanceWatcherSettings settings,
                                 Handler on_list)
    : impl_(std::make_shared<Impl>(io, client, settings, std::move(on_list))) {}

InstanceWatcher::~InstanceWatcher() { impl_->Stop(); }

void InstanceWatcher::Start() { impl_->Start(); }
void InstanceWatcher::Stop() { impl_->Stop(); }

}  // namespace thornplank
