// The settings file of thornplank_hosted (JSON with comments): an entry on the
// users' platform, which keeps its state in the platform's store.
#ifndef THORNPLANK_SETTINGS_HOSTED_SETTINGS_H_
#define THORNPLANK_SETTINGS_HOSTED_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
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
  // Where other entries ask; empty: they are not told of this one.
  std::string listen_entries;
  std::string store_address;
  // Of the service that approves workers; empty where no queue needs it.
  std::string advisor_address;
  // Cores that this instance has; those with most lead first.
  double processor_share = 1;
  Severity log_level = Severity::kInfo;
  // From taking a key away until no call with it may run, anywhere.
  Milliseconds revocation_bound{5000};
  // How long the state of an ended job can be asked for.
  Milliseconds state_kept{120000};
  // From SIGTERM until the process is killed.
  Milliseconds stop_grace{6000};
  // What the platform promises of its workers, and asks of those that order
  // them: WorkerBounds has the same.
  Milliseconds reclaim_bound{2900};
  Milliseconds cancel_bound{3000};
  Milliseconds stop_bound{400};
  Milliseconds gang_patience{3000};
  Milliseconds longest_lease{10000};
  Milliseconds restore_time{600};
  Milliseconds worker_heartbeat{1500};
  double far_slowdown = 3;
};

// Keys by whether a new value is in force at once or from the next start on.
struct HostedSettingsChange {
  std::vector<std::string> at_once;
  std::vector<std::string> at_restart;
};

HostedSettingsChange Compare(const HostedSettings& before,
                             const HostedSettings& after);

void ReadHostedKeys(SettingsReader& reader, HostedSettings* settings);

// nullopt on the first mistake; SettingsErrorLine(*error) is then the line
// "file: key: found X, allowed Y".
std::optional<HostedSettings> ReadHostedSettings(const std::string& path,
                                                 Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_HOSTED_SETTINGS_H_
