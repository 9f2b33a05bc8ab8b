// The settings file of the entry daemon (JSON with comments).
//
// It holds what the process needs before it can reach any other instance: its
// own addresses and failure domain, its peers, the platform's addresses, access
// tokens and limits. Values that operators change at run time are in the
// settings tree instead. A sample is docs/operators/entry.sample.json.
#ifndef THORNPLANK_SETTINGS_ENTRY_SETTINGS_H_
#define THORNPLANK_SETTINGS_ENTRY_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "logging/event_log.h"

namespace thornplank {

class SettingsReader;

enum class TokenRole { kCaller, kViewer, kOperator };

// One bearer token. Invariant: `account` is set exactly when role is kCaller.
struct EntryTokenSettings {
  // Shown in history and logs; unique.
  std::string name;
  // The secret itself; unique, at least 8 bytes, never logged.
  std::string token;
  TokenRole role = TokenRole::kCaller;
  std::string account;
};

// Limits on the resources that callers can use.
// Invariant: body_bytes <= buffered_bytes.
struct EntryLimitSettings {
  size_t body_bytes = 4 * 1024 * 1024;
  size_t connections = 4096;
  // Total size of the request bodies held in memory, over all connections.
  size_t buffered_bytes = 48 * 1024 * 1024;
  Milliseconds header_timeout{10000};
  Milliseconds body_timeout{30000};
  Milliseconds idle_timeout{75000};
};

struct EntryRequestSettings {
  // How long the idempotency key of a non-idempotent request is remembered.
  Milliseconds claim_window{600000};
  // Interval at which demand is exchanged with the peers.
  Milliseconds demand_interval{100};
  // Deadline of requests that name none, where the settings tree sets none.
  Milliseconds default_deadline{10000};
};

// Invariant: renewal_interval <= lease_term / 2, so that one lost renewal
// does not end a lease.
struct EntryJobSettings {
  Milliseconds lease_term{15000};
  Milliseconds renewal_interval{3000};
};

// Invariant: heartbeat_interval < suspect_after < dead_after.
struct EntryMembershipSettings {
  Milliseconds heartbeat_interval{250};
  Milliseconds suspect_after{1500};
  Milliseconds dead_after{5000};
};

struct EntryLogSettings {
  Severity level = Severity::kInfo;
  // Empty: standard error.
  std::string file;
};

struct EntrySettings {
  // Unique among the instances.
  std::string name;
  std::string region;
  std::string failure_domain;
  // "ip:port", numeric; port 0 chooses a free port.
  std::string listen_http;
  std::string listen_peers;
  // Peer addresses of the other entries, without this entry's own address; no
  // duplicates.
  std::vector<std::string> peers;
  // Shared by all entries; at least 8 bytes, never logged.
  std::string peer_secret;
  std::string log_address;
  std::string instance_list_address;
  int threads = 2;
  EntryLogSettings log;
  std::vector<EntryTokenSettings> tokens;
  EntryLimitSettings limits;
  EntryRequestSettings requests;
  EntryJobSettings jobs;
  EntryMembershipSettings membership;
  // Longest time that a graceful shutdown waits for requests in flight.
  Milliseconds drain_timeout{30000};
};

// Declares every key of the file to `reader`.
void ReadEntryKeys(SettingsReader& reader, EntrySettings* settings);

// Returns nullopt if the file is invalid; SettingsErrorLine(*error) then names
// the first problem as "file: key: found X, allowed Y".
std::optional<EntrySettings> ReadEntrySettings(const std::string& path,
                                               Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_ENTRY_SETTINGS_H_
