// Copies each setting to the component that uses it, and draws the random
// seeds.
#include "component_settings.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace thornplank {
namespace {

uint64_t NewSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

Role ToRole(TokenRole role) {
  switch (role) {
    case TokenRole::kCaller:
      return Role::kCaller;
    case TokenRole::kViewer:
      return Role::kViewer;
    case TokenRole::kOperator:
      return Role::kOperator;
  }
  return Role::kCaller;
}

}  // namespace

std::string NewIncarnation() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device();
  return text.str();
}

std::vector<AccessToken> ToAccessTokens(
    const std::vector<EntryTokenSettings>& tokens) {
  std::vector<AccessToken> result;
  result.reserve(tokens.size());
  for (const EntryTokenSettings& token : tokens) {
    result.push_back(
        {token.name, token.token, ToRole(token.role), token.account});
  }
  return result;
}

HttpServerLimits ToHttpServerLimits(const EntryLimitSettings& limits) {
  HttpServerLimits result;
  result.max_body_bytes = limits.body_bytes;
  result.max_connections = limits.connections;
  result.max_buffered_bytes = limits.buffered_bytes;
  result.header_timeout = limits.header_timeout;
  result.body_timeout = limits.body_timeout;
  result.idle_timeout = limits.idle_timeout;
  return result;
}

PeerMeshSettings ToMeshSettings(const EntrySettings& settings,
                                const std::string& incarnation) {
  PeerMeshSettings result;
  result.name = settings.name;
  result.incarnation = incarnation;
  result.failure_domain = settings.failure_domain;
  result.listen = settings.listen_peers;
  result.shared_secret = settings.peer_secret;
  return result;
}

MembershipManagerSettings ToMembershipSettings(const EntrySettings& settings,
                                               const std::string& incarnation) {
  MembershipManagerSettings result;
  result.name = settings.name;
  result.incarnation = incarnation;
  result.failure_domain = settings.failure_domain;
  result.bounds.heartbeat_interval = settings.membership.heartbeat_interval;
  result.bounds.min_suspect_after = settings.membership.suspect_after;
  result.bounds.max_suspect_after = std::max(result.bounds.max_suspect_after,
                                             settings.membership.suspect_after);
  result.bounds.dead_after =
      settings.membership.dead_after - settings.membership.suspect_after;
  return result;
}

RequestManagerSettings ToRequestSettings(const EntrySettings& settings,
                                         const std::string& incarnation) {
  RequestManagerSettings result;
  result.self = {settings.name, incarnation};
  result.failure_domain = settings.failure_domain;
  result.seed = NewSeed();
  result.default_deadline = settings.requests.default_deadline;
  result.max_request_bytes = settings.limits.body_bytes;
  result.claim_window = settings.requests.claim_window;
  result.demand_interval = settings.requests.demand_interval;
  return result;
}

JobManagerSettings ToJobSettings(const EntrySettings& settings,
                                 const std::string& incarnation) {
  JobManagerSettings result;
  result.name = settings.name;
  result.incarnation = incarnation;
  result.leases.term = settings.jobs.lease_term;
  result.leases.renewal_interval = settings.jobs.renewal_interval;
  result.seed = NewSeed();
  return result;
}

SettingsManagerOptions ToSettingsOptions(const EntrySettings& settings) {
  SettingsManagerOptions result;
  result.instance = settings.name;
  // Differs between entries, so that they don't all append a snapshot at once.
  constexpr uint64_t kJitterSteps = 1000;
  result.snapshots.jitter =
      static_cast<double>(NewSeed() % kJitterSteps) / kJitterSteps;
  return result;
}

HttpClientLimits ToHttpClientLimits(size_t connections_per_peer) {
  HttpClientLimits result;
  result.max_connections_per_peer = connections_per_peer;
  return result;
}

}  // namespace thornplank
