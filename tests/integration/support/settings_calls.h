// Settings as operators read and write them, on all entries of a test cluster.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_SETTINGS_CALLS_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_SETTINGS_CALLS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/json.h"
#include "test_cluster.h"

namespace thornplank {

// What an operator was told of a PUT; `status` 0 without an answer.
struct PutTold {
  int status = 0;
  // Of a 200: the version that it made; of a 412: the one that stands.
  int64_t version = -1;
  // Of a 200: the offset from which on the change is in force.
  int64_t offset = -1;
  // The Thornplank-Outcome header.
  std::string outcome;
  bool has_retry_after = false;
  Json body = Json::object();
};

class SettingsCalls {
 public:
  // `cluster` must outlive it. All calls may come from several threads.
  SettingsCalls(TestCluster* cluster, int entries);

  // A PUT with `version` as If-Match.
  PutTold Put(int entry, const std::string& path, const Json& own,
              int64_t version);
  // Repeats Put with the version that stands until it is accepted.
  PutTold PutUntilAccepted(int entry, const std::string& path, const Json& own);

  int64_t Version(int entry, const std::string& path);
  Json Node(int entry, const std::string& path, bool explain = false);
  // Newest first.
  Json History(int entry, const std::string& path);
  // All nodes of `paths` with their history; what two equal entries share.
  Json State(int entry, const std::vector<std::string>& paths);
  // Waits until State is `expected` on every entry of `entries`.
  bool AwaitState(const std::vector<int>& entries,
                  const std::vector<std::string>& paths, const Json& expected);
  // The folded offset of the settings, as /v1/status says it.
  int64_t Offset(int entry);

  // What the log service answers to a read of all that it still keeps.
  Json LogRecords(const std::string& stream = "settings");
  // The newest snapshot that can still be read; null when there is none.
  Json NewestSnapshot();
  // Waits until the log has forgotten the beginning and its newest snapshot
  // closes the gap, so that a start from the log alone is possible.
  bool AwaitSnapshotAcrossGap(int64_t covers_at_least);
  // Appends a record to the stream of settings as a foreign writer.
  bool AppendToLog(const std::string& id, const Json& data);

  std::vector<int> all() const;

 private:
  TestCluster* const cluster_;
  const int entries_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_SETTINGS_CALLS_H_
