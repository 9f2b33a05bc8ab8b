// The settings file of thornplank_hosted (JSON with comments): an entry on the
// users' platform, which keeps its state in the platform's store.
#ifndef THORNPLANK_SETTINGS_HOSTED_SETTINGS_H_
#define THORNPLANK_SETTINGS_HOSTED_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/feature_mode.h"
#include "base/time.h"
#include "logging/event_log.h"

namespace thornplank {

class SettingsReader;

struct HostedSettings {
  // Unique among the instances.
  std::string name;
  std::string failure_domain;
  // "ip:port", numeric.
  std::string listen_callers;
  std::string listen_readiness;
  // Empty: no metrics are served.
  std::string listen_metrics;
  // Where other entries reach this one; empty: they are not told of it.
  std::string listen_entries;
  std::string store_address;
  // The largest record, and the largest append, that the store takes.
  int64_t store_record_bytes = 256 * 1024;
  int64_t store_append_bytes = 2 * 1024 * 1024;
  // Address of the advice service, which approves workers; empty if no queue
  // needs it.
  std::string advisor_address;
  // CPU cores of this instance; instances with more cores are preferred as
  // leader.
  double processor_share = 1;
  // Files and sockets that this process may have open; 0 if not known. Bounds
  // the connections that are kept open while they are not in use.
  int max_descriptors = 0;
  Severity log_level = Severity::kInfo;
  // Maximum time from the revocation of a caller's key until no call with that
  // key may run on any entry.
  Milliseconds revocation_bound{5000};
  // Maximum time from a change of the configuration until every entry serves by
  // it.
  Milliseconds configuration_bound{2000};
  // Entries that follow the board, the leader included; a large system has
  // more. The others forward their callers' calls to these.
  int min_replicas = 8;
  // How long the state of an ended job can be queried.
  Milliseconds state_kept{120000};
  // Time from SIGTERM until the platform kills the process.
  Milliseconds stop_grace{6000};
  // What the platform guarantees about its workers and requires of the entries
  // that use them; the members of WorkerBounds say what each bound means.
  Milliseconds reclaim_bound{2900};
  Milliseconds cancel_bound{3000};
  Milliseconds stop_bound{400};
  Milliseconds gang_patience{3000};
  Milliseconds longest_lease{10000};
  Milliseconds restore_time{600};
  Milliseconds worker_heartbeat{1500};
  Milliseconds resize_tolerance{3000};
  double far_slowdown = 3;
  // Optional decisions of the scheduler; the members of SchedulingFeatures say
  // what each does.
  FeatureMode held_capacity = FeatureMode::kOff;
  FeatureMode account_shares = FeatureMode::kOff;
  FeatureMode worker_health = FeatureMode::kAuto;
  FeatureMode compact_gangs = FeatureMode::kAuto;
};

// Keys whose values differ, by when the new value takes effect.
struct HostedSettingsChange {
  std::vector<std::string> at_once;
  // At the next start of the process.
  std::vector<std::string> at_restart;
};

HostedSettingsChange Compare(const HostedSettings& before,
                             const HostedSettings& after);

// Declares every key of the file to `reader`.
void ReadHostedKeys(SettingsReader& reader, HostedSettings* settings);

// Returns nullopt if the file is invalid; SettingsErrorLine(*error) then names
// the first problem as "file: key: found X, allowed Y".
std::optional<HostedSettings> ReadHostedSettings(const std::string& path,
                                                 Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_HOSTED_SETTINGS_H_
