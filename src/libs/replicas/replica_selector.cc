// Order of the replicas, and the record of their failures.
#include "replicas/replica_selector.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace thornplank {
namespace {

uint64_t OrderOf(const std::string& gateway, const std::string& replica) {
  return std::hash<std::string>()(gateway + '/' + replica);
}

}  // namespace

ReplicaSelector::ReplicaSelector(ReplicaSelectorSettings settings)
    : settings_(std::move(settings)) {}

void ReplicaSelector::SetReplicas(const ReplicaRoster& roster) {
  std::map<std::string, Replica> replicas;
  for (size_t i = 0; i < roster.replicas.size(); ++i) {
    const ReplicaAddress& entry = roster.replicas[i];
    if (entry.name == settings_.name) continue;
    const auto known = replicas_.find(entry.address);
    Replica replica = known == replicas_.end() ? Replica() : known->second;
    replica.position = i;
    replica.same_domain = entry.failure_domain == settings_.failure_domain;
    replica.order = OrderOf(settings_.name, entry.name);
    replicas[entry.address] = replica;
  }
  replicas_ = std::move(replicas);
}

std::vector<std::string> ReplicaSelector::Order(ReplicaPreference preference,
                                                Time now) const {
  const bool by_position = preference == ReplicaPreference::kLeader;
  const auto key = [&](const std::string& address) {
    const Replica& replica = replicas_.at(address);
    const bool avoid = now < replica.avoid_until;
    return std::make_tuple(avoid, avoid ? replica.avoid_until : Time{},
                           by_position ? replica.position : 0,
                           !replica.same_domain, replica.order);
  };
  std::vector<std::string> addresses;
  for (const auto& [address, replica] : replicas_) {
    addresses.push_back(address);
  }
  std::sort(addresses.begin(), addresses.end(),
            [&key](const std::string& a, const std::string& b) {
              return key(a) < key(b);
            });
  return addresses;
}

void ReplicaSelector::OnAnswer(const std::string& address, Duration latency) {
  usual_latency_.Add(latency);
  const auto replica = replicas_.find(address);
  if (replica == replicas_.end()) return;
  replica->second.failures = 0;
  replica->second.avoid_until = Time{};
}

void ReplicaSelector::OnFailure(const std::string& address, Time now) {
  const auto found = replicas_.find(address);
  if (found == replicas_.end()) return;
  Replica& replica = found->second;
  Milliseconds avoidance = settings_.initial_avoidance;
  for (int i = 0; i < replica.failures; ++i) {
    avoidance = std::min(avoidance * 2, settings_.max_avoidance);
  }
  ++replica.failures;
  replica.avoid_until = now + avoidance;
}

Milliseconds ReplicaSelector::HedgeDelay() const {
  return std::clamp(usual_latency_.Times(settings_.hedge_per_latency),
                    settings_.min_hedge_delay, settings_.max_hedge_delay);
}

}  // namespace thornplank
