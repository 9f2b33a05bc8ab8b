// Keys of the entry's settings file with their ranges, and the rules that
// involve several keys.
#include "settings/entry_settings.h"

#include <algorithm>
#include <set>
#include <utility>

#include "settings/settings_reader.h"

namespace thornplank {
namespace {

constexpr size_t kMinSecretBytes = 8;
constexpr IntRange kThreadRange{1, 64};
constexpr IntRange kBodyRange{1024, 1LL << 30};
constexpr IntRange kConnectionRange{1, 1'000'000};
constexpr IntRange kBufferRange{1024, 1LL << 34};
constexpr DurationRange kTimeoutRange{Milliseconds(100), Milliseconds(600'000)};
constexpr DurationRange kClaimWindowRange{Milliseconds(1000),
                                          Milliseconds(86'400'000)};
constexpr DurationRange kIntervalRange{Milliseconds(10), Milliseconds(60'000)};
constexpr DurationRange kLeaseRange{Milliseconds(500), Milliseconds(600'000)};
constexpr DurationRange kHeartbeatTimeoutRange{Milliseconds(20),
                                               Milliseconds(600'000)};

std::string CountText(Milliseconds value) {
  return std::to_string(value.count());
}

void ReadLog(SettingsReader& reader, EntryLogSettings* log) {
  reader.Choose<Severity>("level", Presence::kOptional,
                          {{"debug", Severity::kDebug},
                           {"info", Severity::kInfo},
                           {"warning", Severity::kWarning},
                           {"error", Severity::kError}},
                          &log->level);
  reader.Text("file", Presence::kOptional, NonEmptyText(), &log->file);
}

void ReadToken(SettingsReader& reader, EntryTokenSettings* token) {
  reader.Text("name", Presence::kRequired, NameText(), &token->name);
  reader.Text("token", Presence::kRequired, SecretText(kMinSecretBytes),
              &token->token);
  reader.Choose<TokenRole>("role", Presence::kRequired,
                           {{"caller", TokenRole::kCaller},
                            {"viewer", TokenRole::kViewer},
                            {"operator", TokenRole::kOperator}},
                           &token->role);
  reader.Text("account", Presence::kOptional, NameText(), &token->account);
  const bool is_caller = token->role == TokenRole::kCaller;
  if (is_caller && token->account.empty()) {
    reader.AddProblem("account", "no account",
                      "a client account for role caller");
  }
  if (!is_caller && !token->account.empty()) {
    reader.AddProblem("account", '"' + token->account + '"',
                      "no account for this role");
  }
}

void CheckTokensUnique(SettingsReader& reader,
                       const std::vector<EntryTokenSettings>& tokens) {
  std::set<std::string> names;
  std::set<std::string> secrets;
  for (size_t i = 0; i < tokens.size(); ++i) {
    const std::string key = "tokens[" + std::to_string(i) + "].";
    const EntryTokenSettings& token = tokens[i];
    if (!token.name.empty() && !names.insert(token.name).second) {
      reader.AddProblem(key + "name", '"' + token.name + "\" a second time",
                        "each name once");
    }
    if (!token.token.empty() && !secrets.insert(token.token).second) {
      reader.AddProblem(key + "token", "the token of another item",
                        "each token once");
    }
  }
}

void ReadLimits(SettingsReader& reader, EntryLimitSettings* limits) {
  reader.Int("body_bytes", Presence::kOptional, kBodyRange,
             &limits->body_bytes);
  reader.Int("connections", Presence::kOptional, kConnectionRange,
             &limits->connections);
  reader.Int("buffered_bytes", Presence::kOptional, kBufferRange,
             &limits->buffered_bytes);
  reader.Duration("header_timeout_ms", Presence::kOptional, kTimeoutRange,
                  &limits->header_timeout);
  reader.Duration("body_timeout_ms", Presence::kOptional, kTimeoutRange,
                  &limits->body_timeout);
  reader.Duration("idle_timeout_ms", Presence::kOptional, kTimeoutRange,
                  &limits->idle_timeout);
  if (limits->body_bytes > limits->buffered_bytes) {
    reader.AddProblem(
        "buffered_bytes", std::to_string(limits->buffered_bytes),
        "at least body_bytes (" + std::to_string(limits->body_bytes) + ")");
  }
}

void ReadRequests(SettingsReader& reader, EntryRequestSettings* requests) {
  reader.Duration("claim_window_ms", Presence::kOptional, kClaimWindowRange,
                  &requests->claim_window);
  reader.Duration("demand_interval_ms", Presence::kOptional, kIntervalRange,
                  &requests->demand_interval);
  reader.Duration("default_deadline_ms", Presence::kOptional, kTimeoutRange,
                  &requests->default_deadline);
}

void ReadJobs(SettingsReader& reader, EntryJobSettings* jobs) {
  reader.Duration("lease_term_ms", Presence::kOptional, kLeaseRange,
                  &jobs->lease_term);
  reader.Duration("renewal_interval_ms", Presence::kOptional, kIntervalRange,
                  &jobs->renewal_interval);
  if (jobs->renewal_interval > jobs->lease_term / 2) {
    reader.AddProblem("renewal_interval_ms", CountText(jobs->renewal_interval),
                      "at most half of lease_term_ms (" +
                          CountText(jobs->lease_term / 2) + ")");
  }
}

void ReadMembership(SettingsReader& reader,
                    EntryMembershipSettings* membership) {
  reader.Duration("heartbeat_interval_ms", Presence::kOptional, kIntervalRange,
                  &membership->heartbeat_interval);
  reader.Duration("suspect_after_ms", Presence::kOptional,
                  kHeartbeatTimeoutRange, &membership->suspect_after);
  reader.Duration("dead_after_ms", Presence::kOptional, kHeartbeatTimeoutRange,
                  &membership->dead_after);
  if (membership->suspect_after <= membership->heartbeat_interval) {
    reader.AddProblem("suspect_after_ms", CountText(membership->suspect_after),
                      "more than heartbeat_interval_ms (" +
                          CountText(membership->heartbeat_interval) + ")");
  }
  if (membership->dead_after <= membership->suspect_after) {
    reader.AddProblem("dead_after_ms", CountText(membership->dead_after),
                      "more than suspect_after_ms (" +
                          CountText(membership->suspect_after) + ")");
  }
}

void ReadAddresses(SettingsReader& reader, EntrySettings* settings) {
  reader.Text("listen_http", Presence::kRequired, ListenAddressText(),
              &settings->listen_http);
  reader.Text("listen_peers", Presence::kRequired, ListenAddressText(),
              &settings->listen_peers);
  reader.TextList("peers", Presence::kOptional, AddressText(),
                  &settings->peers);
  reader.Text("peer_secret", Presence::kRequired, SecretText(kMinSecretBytes),
              &settings->peer_secret);
  reader.Text("log_address", Presence::kRequired, AddressText(),
              &settings->log_address);
  reader.Text("instance_list_address", Presence::kRequired, AddressText(),
              &settings->instance_list_address);
  const bool lists_itself =
      std::find(settings->peers.begin(), settings->peers.end(),
                settings->listen_peers) != settings->peers.end();
  if (lists_itself) {
    reader.AddProblem("peers", "its own listen_peers " + settings->listen_peers,
                      "addresses of other entries");
  }
}

}  // namespace

void ReadEntryKeys(SettingsReader& reader, EntrySettings* settings) {
  reader.Text("name", Presence::kRequired, NameText(), &settings->name);
  reader.Text("region", Presence::kOptional, NonEmptyText(), &settings->region);
  reader.Text("failure_domain", Presence::kRequired, NonEmptyText(),
              &settings->failure_domain);
  ReadAddresses(reader, settings);
  reader.Int("threads", Presence::kOptional, kThreadRange, &settings->threads);
  reader.Section("log", Presence::kOptional, [settings](SettingsReader& log) {
    ReadLog(log, &settings->log);
  });
  reader.List("tokens", Presence::kRequired, /*min_items=*/1,
              [settings](SettingsReader& item) {
                EntryTokenSettings token;
                ReadToken(item, &token);
                settings->tokens.push_back(std::move(token));
              });
  CheckTokensUnique(reader, settings->tokens);
  reader.Section("limits", Presence::kOptional,
                 [settings](SettingsReader& limits) {
                   ReadLimits(limits, &settings->limits);
                 });
  reader.Section("requests", Presence::kOptional,
                 [settings](SettingsReader& requests) {
                   ReadRequests(requests, &settings->requests);
                 });
  reader.Section("jobs", Presence::kOptional, [settings](SettingsReader& jobs) {
    ReadJobs(jobs, &settings->jobs);
  });
  reader.Section("membership", Presence::kOptional,
                 [settings](SettingsReader& membership) {
                   ReadMembership(membership, &settings->membership);
                 });
  reader.Duration("drain_timeout_ms", Presence::kOptional, kTimeoutRange,
                  &settings->drain_timeout);
}

std::optional<EntrySettings> ReadEntrySettings(const std::string& path,
                                               Error* error) {
  return ReadSettingsFile<EntrySettings>(path, ReadEntryKeys, error);
}

}  // namespace thornplank
