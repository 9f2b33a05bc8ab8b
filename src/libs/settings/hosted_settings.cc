// Keys and ranges of the hosted entry's settings file, and the comparison of
// two settings.
#include "settings/hosted_settings.h"

#include "settings/settings_reader.h"

namespace thornplank {
namespace {

constexpr DurationRange kBoundRange{Milliseconds(1), Milliseconds(3600000)};
constexpr DurationRange kShortRange{Milliseconds(0), Milliseconds(60000)};
constexpr NumberRange kShareRange{0, 1024, /*above_min=*/true};
constexpr NumberRange kSlowdownRange{1, 1000};
constexpr IntRange kReplicaRange{1, 1000};
constexpr IntRange kDescriptorRange{0, 100000000};
// Below the least value the records of the leader itself would not fit.
constexpr IntRange kStoreBytesRange{4096, 1 << 30};

void ReadFeature(SettingsReader& reader, const std::string& key,
                 FeatureMode* mode) {
  reader.Choose(key, Presence::kOptional,
                std::vector<std::pair<std::string, FeatureMode>>{
                    {"auto", FeatureMode::kAuto},
                    {"on", FeatureMode::kOn},
                    {"off", FeatureMode::kOff}},
                mode);
}

}  // namespace

void ReadHostedKeys(SettingsReader& reader, HostedSettings* settings) {
  reader.Text("name", Presence::kRequired, NameText(), &settings->name);
  // Part of the records of this entry and of the roster.
  reader.Text("failure_domain", Presence::kRequired, ShortText(),
              &settings->failure_domain);
  reader.Text("listen_callers", Presence::kRequired, ListenAddressText(),
              &settings->listen_callers);
  reader.Text("listen_readiness", Presence::kRequired, ListenAddressText(),
              &settings->listen_readiness);
  reader.Text("listen_metrics", Presence::kOptional, ListenAddressText(),
              &settings->listen_metrics);
  reader.Text("listen_entries", Presence::kOptional, ListenAddressText(),
              &settings->listen_entries);
  reader.Text("store_address", Presence::kRequired, AddressText(),
              &settings->store_address);
  reader.Int("store_record_bytes", Presence::kOptional, kStoreBytesRange,
             &settings->store_record_bytes);
  reader.Int("store_append_bytes", Presence::kOptional, kStoreBytesRange,
             &settings->store_append_bytes);
  reader.Text("advisor_address", Presence::kOptional, AddressText(),
              &settings->advisor_address);
  reader.Number("processor_share", Presence::kOptional, kShareRange,
                &settings->processor_share);
  reader.Int("max_descriptors", Presence::kOptional, kDescriptorRange,
             &settings->max_descriptors);
  reader.Choose("log_level", Presence::kOptional,
                std::vector<std::pair<std::string, Severity>>{
                    {"debug", Severity::kDebug},
                    {"info", Severity::kInfo},
                    {"warning", Severity::kWarning},
                    {"error", Severity::kError}},
                &settings->log_level);
  reader.Duration("revocation_bound_ms", Presence::kOptional, kBoundRange,
                  &settings->revocation_bound);
  reader.Duration("configuration_bound_ms", Presence::kOptional, kBoundRange,
                  &settings->configuration_bound);
  reader.Int("min_replicas", Presence::kOptional, kReplicaRange,
             &settings->min_replicas);
  reader.Seconds("state_kept_s", Presence::kOptional, kBoundRange,
                 &settings->state_kept);
  reader.Seconds("stop_grace_s", Presence::kOptional, kBoundRange,
                 &settings->stop_grace);
  reader.Duration("reclaim_bound_ms", Presence::kOptional, kBoundRange,
                  &settings->reclaim_bound);
  reader.Duration("cancel_bound_ms", Presence::kOptional, kBoundRange,
                  &settings->cancel_bound);
  reader.Duration("stop_bound_ms", Presence::kOptional, kShortRange,
                  &settings->stop_bound);
  reader.Duration("gang_patience_ms", Presence::kOptional, kBoundRange,
                  &settings->gang_patience);
  reader.Duration("longest_lease_ms", Presence::kOptional, kBoundRange,
                  &settings->longest_lease);
  reader.Duration("restore_time_ms", Presence::kOptional, kShortRange,
                  &settings->restore_time);
  reader.Duration("worker_heartbeat_ms", Presence::kOptional, kBoundRange,
                  &settings->worker_heartbeat);
  reader.Duration("resize_tolerance_ms", Presence::kOptional, kBoundRange,
                  &settings->resize_tolerance);
  reader.Number("far_slowdown", Presence::kOptional, kSlowdownRange,
                &settings->far_slowdown);
  ReadFeature(reader, "held_capacity", &settings->held_capacity);
  ReadFeature(reader, "account_shares", &settings->account_shares);
  ReadFeature(reader, "worker_health", &settings->worker_health);
  ReadFeature(reader, "compact_gangs", &settings->compact_gangs);
}

HostedSettingsChange Compare(const HostedSettings& before,
                             const HostedSettings& after) {
  HostedSettingsChange change;
  const auto compare = [](const char* key, const auto& a, const auto& b,
                          std::vector<std::string>* changed) {
    if (a != b) changed->emplace_back(key);
  };
  std::vector<std::string>* at_once = &change.at_once;
  compare("log_level", before.log_level, after.log_level, at_once);
  compare("store_address", before.store_address, after.store_address, at_once);
  compare("revocation_bound_ms", before.revocation_bound,
          after.revocation_bound, at_once);
  compare("stop_grace_s", before.stop_grace, after.stop_grace, at_once);
  std::vector<std::string>* at_restart = &change.at_restart;
  compare("name", before.name, after.name, at_restart);
  compare("failure_domain", before.failure_domain, after.failure_domain,
          at_restart);
  compare("listen_callers", before.listen_callers, after.listen_callers,
          at_restart);
  compare("listen_readiness", before.listen_readiness, after.listen_readiness,
          at_restart);
  compare("listen_metrics", before.listen_metrics, after.listen_metrics,
          at_restart);
  compare("listen_entries", before.listen_entries, after.listen_entries,
          at_restart);
  compare("advisor_address", before.advisor_address, after.advisor_address,
          at_restart);
  compare("store_record_bytes", before.store_record_bytes,
          after.store_record_bytes, at_restart);
  compare("store_append_bytes", before.store_append_bytes,
          after.store_append_bytes, at_restart);
  compare("processor_share", before.processor_share, after.processor_share,
          at_restart);
  compare("max_descriptors", before.max_descriptors, after.max_descriptors,
          at_restart);
  compare("configuration_bound_ms", before.configuration_bound,
          after.configuration_bound, at_restart);
  compare("min_replicas", before.min_replicas, after.min_replicas, at_restart);
  compare("state_kept_s", before.state_kept, after.state_kept, at_restart);
  compare("reclaim_bound_ms", before.reclaim_bound, after.reclaim_bound,
          at_restart);
  compare("cancel_bound_ms", before.cancel_bound, after.cancel_bound,
          at_restart);
  compare("stop_bound_ms", before.stop_bound, after.stop_bound, at_restart);
  compare("gang_patience_ms", before.gang_patience, after.gang_patience,
          at_restart);
  compare("longest_lease_ms", before.longest_lease, after.longest_lease,
          at_restart);
  compare("restore_time_ms", before.restore_time, after.restore_time,
          at_restart);
  compare("worker_heartbeat_ms", before.worker_heartbeat,
          after.worker_heartbeat, at_restart);
  compare("resize_tolerance_ms", before.resize_tolerance,
          after.resize_tolerance, at_restart);
  compare("far_slowdown", before.far_slowdown, after.far_slowdown, at_restart);
  compare("held_capacity", before.held_capacity, after.held_capacity,
          at_restart);
  compare("account_shares", before.account_shares, after.account_shares,
          at_restart);
  compare("worker_health", before.worker_health, after.worker_health,
          at_restart);
  compare("compact_gangs", before.compact_gangs, after.compact_gangs,
          at_restart);
  return change;
}

std::optional<HostedSettings> ReadHostedSettings(const std::string& path,
                                                 Error* error) {
  return ReadSettingsFile<HostedSettings>(path, ReadHostedKeys, error);
}

}  // namespace thornplank
