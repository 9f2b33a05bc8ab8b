// Reads and writes the settings on the entries of a test cluster, as operators
// do.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_SETTINGS_CLIENT_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_SETTINGS_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/json.h"
#include "test_cluster.h"

namespace thornplank {

// The answer to a PUT; `status` is 0 without an answer.
struct PutResult {
  int status = 0;
  // For status 200 the version that the PUT created, for 412 the current one.
  int64_t version = -1;
  // For status 200 the offset from which on the change is in force.
  int64_t offset = -1;
  // The Thornplank-Outcome header.
  std::string outcome;
  bool has_retry_after = false;
  Json body = Json::object();
};

class SettingsClient {
 public:
  // `cluster` must outlive the client. All functions may be called from several
  // threads.
  SettingsClient(TestCluster* cluster, int entries);

  // Sends a PUT with `version` as If-Match.
  PutResult Put(int entry, const std::string& path, const Json& own_values,
                int64_t version);
  // Repeats Put with the current version until it is accepted.
  PutResult PutUntilAccepted(int entry, const std::string& path,
                             const Json& own_values);

  int64_t Version(int entry, const std::string& path);
  Json Node(int entry, const std::string& path, bool explain = false);
  // Newest first.
  Json History(int entry, const std::string& path);
  // All nodes of `paths` with their history, without what differs between
  // entries of the same state.
  Json State(int entry, const std::vector<std::string>& paths);
  // Waits until State is `expected` on every entry of `entries`.
  bool AwaitState(const std::vector<int>& entries,
                  const std::vector<std::string>& paths, const Json& expected);
  // The offset up to which the entry has applied the settings stream, from
  // /v1/status; -1 if unknown.
  int64_t Offset(int entry);

  // The log service's answer to a read of all retained records.
  Json LogRecords(const std::string& stream = "settings");
  // The newest retained snapshot; null if there is none.
  Json NewestSnapshot();
  // Waits until the log has dropped its first records and its newest snapshot
  // covers them, so that an entry can start from the log alone.
  bool AwaitSnapshotAcrossGap(int64_t covers_at_least);
  // Appends a record to the settings stream as a writer that is not an entry.
  bool AppendToLog(const std::string& id, const Json& data);

  std::vector<int> all() const;

 private:
  TestCluster* const cluster_;
  const int entries_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_SETTINGS_CLIENT_H_
