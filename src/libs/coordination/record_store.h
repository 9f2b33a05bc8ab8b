// The platform's store as the scheduler needs it: keyed streams of records,
// with conditional and fenced appends.
#ifndef THORNPLANK_COORDINATION_RECORD_STORE_H_
#define THORNPLANK_COORDINATION_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace thornplank {

// One partition of a stream that keeps the newest record of each key.
struct Partition {
  std::string stream;
  int number = 0;
};

struct KeyedRecord {
  std::string key;
  // Without a value the key is dropped.
  std::optional<std::string> value;
  int64_t offset = 0;
};

// Fences a partition: once a higher epoch was seen, nothing of a lower one is
// stored, not even a late append.
struct ProducerPosition {
  std::string producer;
  int64_t epoch = 0;
  int64_t sequence = 0;
};

struct AppendRequest {
  Partition partition;
  // Stored all or none. Empty: only sets the producer's epoch.
  std::vector<KeyedRecord> records;
  // Stored only if the partition ends here.
  std::optional<int64_t> expected_end;
  std::optional<ProducerPosition> producer;
};

enum class StoreOutcome {
  kStored,
  // The partition does not end where it was expected to.
  kConflict,
  // A higher epoch was seen.
  kFenced,
  // Another sequence number is due; `expected_sequence` says which.
  kOutOfSequence,
  // Nothing was done.
  kRefused,
  // It may have been stored, or may be yet.
  kUnknown,
};

struct AppendResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  // Of the first record, where stored.
  int64_t offset = 0;
  int64_t end = 0;
  int64_t expected_sequence = 0;
  Error error;
};

enum class ReadOutcome {
  kRead,
  // What was asked for is no longer there.
  kTrimmed,
  kFailed,
};

struct ReadResult {
  ReadOutcome outcome = ReadOutcome::kFailed;
  int64_t end = 0;
  std::vector<KeyedRecord> records;
  Error error;
};

struct NewestPage {
  bool ok = false;
  std::vector<KeyedRecord> records;
  // Go on behind the last key.
  bool has_more = false;
  int64_t end = 0;
  Error error;
};

class RecordStore {
 public:
  virtual ~RecordStore() = default;

  // Callbacks run once, on the loop that the scheduler runs on, never before
  // the call returns.
  virtual void Append(const AppendRequest& request, Milliseconds timeout,
                      std::function<void(const AppendResult&)> done) = 0;
  // Answers as soon as there is a record at `from` or behind it, after `wait`
  // at the latest.
  virtual void Read(const Partition& partition, int64_t from, Milliseconds wait,
                    Milliseconds timeout,
                    std::function<void(const ReadResult&)> done) = 0;
  // The newest record of each key behind `after_key`, a page of them.
  virtual void ReadNewest(const Partition& partition,
                          const std::string& after_key, Milliseconds timeout,
                          std::function<void(const NewestPage&)> done) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_RECORD_STORE_H_
