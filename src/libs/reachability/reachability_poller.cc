// Rounds of questions to entries that are chosen by chance.
#include "reachability/reachability_poller.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

ReachabilityPoller::ReachabilityPoller(
    boost::asio::io_context& io, EntryClientInterface& calls,
    ReachabilityPollerSettings settings,
    std::function<std::vector<std::string>()> peers)
    : calls_(calls),
      settings_(settings),
      peers_(std::move(peers)),
      timer_(io),
      random_(settings.seed) {}

ReachabilityPoller::~ReachabilityPoller() { *alive_ = false; }

void ReachabilityPoller::OnReadFailed() {
  if (outlook_.lost()) return;
  outlook_.OnReadFailed(Now());
  Tell();
  Ask();
}

void ReachabilityPoller::OnReadSucceeded() {
  if (!outlook_.lost()) return;
  timer_.cancel();
  outlook_.OnReadSucceeded();
  Tell();
}

bool ReachabilityPoller::ReachableElsewhere() const {
  return outlook_.ReachableElsewhere(Now());
}

void ReachabilityPoller::Ask() {
  std::vector<std::string> peers = peers_();
  std::shuffle(peers.begin(), peers.end(), random_);
  if (peers.size() > settings_.asked) peers.resize(settings_.asked);
  for (const std::string& peer : peers) {
    calls_.FetchStoreAge(peer, settings_.timeout,
                         [this, alive = alive_, peer,
                          sent = Now()](std::optional<Milliseconds> age) {
                           if (*alive) OnAnswer(peer, sent, age);
                         });
  }
  timer_.expires_after(settings_.interval);
  timer_.async_wait([this](const boost::system::error_code& code) {
    if (code || !outlook_.lost()) return;
    Tell();
    Ask();
  });
}

void ReachabilityPoller::OnAnswer(const std::string& peer, Time sent,
                                  std::optional<Milliseconds> age) {
  if (age) {
    outlook_.OnAnswer(*age, sent, Now());
  } else {
    outlook_.OnSilence(peer);
  }
  Tell();
}

void ReachabilityPoller::Tell() {
  const StoreStatus belief = outlook_.belief(Now());
  if (belief == told_) return;
  told_ = belief;
  LogEvent(events::kStoreOutlook, {{"belief", std::string(ToText(belief))}});
}

}  // namespace thornplank
