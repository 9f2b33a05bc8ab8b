// Cancellations of jobs whose submission is not stored.
//
// A caller may cancel a job whose submission got no answer. That submission may
// still be stored afterwards: the store carries an append out late, or an entry
// that was paused reads the call only then. The cancellation is therefore
// stored as well, and binds each submission of that id on which its caller may
// act, whichever of the two is stored first. Calls of other accounts bind
// nothing of the job's account.
//
// A cancellation is dropped after kEarlyCancellationTtl, and a caller has a
// limited number of them, so that their total is bounded.
#ifndef THORNPLANK_COORDINATION_EARLY_CANCELLATIONS_H_
#define THORNPLANK_COORDINATION_EARLY_CANCELLATIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "coordination/job_access.h"
#include "coordination/record_store.h"

namespace thornplank {

// How long a cancellation binds submissions that are stored after it.
inline constexpr std::chrono::seconds kEarlyCancellationTtl{300};

// A cancellation that is repeated sooner is not stored again. The rest of
// kEarlyCancellationTtl is longer than the state of an ended job is kept.
inline constexpr std::chrono::seconds kEarlyCancellationRepeat{150};

// Of one account, or of one public queue.
inline constexpr size_t kMaxEarlyCancellations = 1000;

struct EarlyCancellation {
  // Id of the job.
  std::string job;
  CallerIdentity caller;
  WallTime requested{};
  // Of the record; set by reads.
  int64_t offset = 0;
};

class EarlyCancellations {
 public:
  // The record to be stored. Different cancellations have different keys, so
  // that none is lost when another one of the same job is dropped.
  static KeyedRecord ToRecord(const EarlyCancellation& cancellation);
  static bool IsKey(const std::string& key);

  // `record.key` fulfills IsKey. Returns the cancellation if it is a new one.
  std::optional<EarlyCancellation> Apply(const KeyedRecord& record);
  // All records were read again; keys that are not in `keys` no longer exist.
  void OnSnapshot(const std::set<std::string>& keys);

  // The first one that binds the job; null if none does.
  const EarlyCancellation* FindFor(const JobDefinition& job) const;
  // Whether the same caller has cancelled the job so recently that it need not
  // be stored again.
  bool IsRepeated(const std::string& job, const CallerIdentity& caller,
                  WallTime now) const;
  // Whether the caller has kMaxEarlyCancellations of them.
  bool IsFull(const CallerIdentity& caller) const;
  // Tombstones of those that have expired and are not `needed`.
  std::vector<KeyedRecord> TombstonesOfExpired(
      WallTime now,
      const std::function<bool(const EarlyCancellation&)>& needed) const;

  size_t size() const { return by_key_.size(); }

 private:
  using Map = std::map<std::string, EarlyCancellation>;

  // Those of one job.
  std::pair<Map::const_iterator, Map::const_iterator> RangeOf(
      const std::string& job) const;
  void Remove(Map::const_iterator cancellation);

  // By key of the record.
  Map by_key_;
  // How many of them each caller has, by HolderOf(caller); never 0.
  std::unordered_map<std::string, size_t> counts_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_EARLY_CANCELLATIONS_H_
