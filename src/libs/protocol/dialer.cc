// Exponential backoff with jitter for each address.
#include "protocol/dialer.h"

#include <algorithm>

namespace thornplank {

Dialer::Dialer(Milliseconds initial_delay, Milliseconds max_delay,
               const std::string& seed)
    : initial_delay_(initial_delay), max_delay_(max_delay) {
  std::seed_seq sequence(seed.begin(), seed.end());
  random_.seed(sequence);
}

void Dialer::SetAddresses(const std::vector<std::string>& addresses) {
  const std::set<std::string> wanted(addresses.begin(), addresses.end());
  for (auto it = targets_.begin(); it != targets_.end();) {
    it->second.wanted = wanted.count(it->first) > 0;
    const bool in_use = it->second.wanted || it->second.dialing_or_linked;
    it = in_use ? std::next(it) : targets_.erase(it);
  }
  for (const std::string& address : wanted) {
    Target target;
    target.delay = initial_delay_;
    targets_.emplace(address, target);
  }
}

std::vector<std::string> Dialer::TakeDue(
    const std::set<std::string>& linked_names, Time now) {
  std::vector<std::string> due;
  for (auto& [address, target] : targets_) {
    if (!target.wanted || target.dialing_or_linked) continue;
    if (now < target.next_attempt) continue;
    if (linked_names.count(target.name) > 0) continue;
    target.dialing_or_linked = true;
    due.push_back(address);
  }
  return due;
}

void Dialer::SetPeerName(const std::string& address, const std::string& name) {
  const auto found = targets_.find(address);
  if (found != targets_.end()) found->second.name = name;
}

void Dialer::HandleEstablished(const std::string& address) {
  const auto found = targets_.find(address);
  if (found != targets_.end()) found->second.delay = initial_delay_;
}

void Dialer::HandleClosed(const std::string& address, Time now) {
  const auto found = targets_.find(address);
  if (found == targets_.end()) return;
  Target& target = found->second;
  if (!target.wanted) {
    targets_.erase(found);
    return;
  }
  target.dialing_or_linked = false;
  target.next_attempt = now + Jittered(target.delay);
  target.delay = std::min(target.delay * 2, max_delay_);
}

void Dialer::HandleLinkLost(const std::string& name, Time now) {
  for (auto& [address, target] : targets_) {
    if (target.name != name || target.dialing_or_linked) continue;
    target.delay = initial_delay_;
    target.next_attempt = now + Jittered(initial_delay_);
  }
}

Duration Dialer::Jittered(Milliseconds delay) {
  std::uniform_real_distribution<double> share(0.5, 1.0);
  return std::chrono::duration_cast<Duration>(delay * share(random_));
}

}  // namespace thornplank
