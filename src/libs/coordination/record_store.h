// Interface to the platform's store: partitioned streams of keyed records, with
// conditional and fenced appends.
#ifndef THORNPLANK_COORDINATION_RECORD_STORE_H_
#define THORNPLANK_COORDINATION_RECORD_STORE_H_

#include <cstddef>
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
  // A record without a value is a tombstone: it removes the key.
  std::optional<std::string> value;
  // Set by reads; ignored by appends.
  int64_t offset = 0;
};

// Fences a partition for one producer: once the store has seen an epoch, it
// rejects appends with a lower one, including those that arrive late.
struct ProducerPosition {
  std::string producer;
  int64_t epoch = 0;
  int64_t sequence = 0;
};

// What the store takes at most.
struct StoreLimits {
  // Of one record: key, value and one byte for the length of the key.
  size_t record_bytes = 256 * 1024;
  // Of all records of one append, each with four bytes for its length.
  size_t append_bytes = 2 * 1024 * 1024;
};

// The size of a record that is compared with StoreLimits::record_bytes.
inline size_t RecordBytes(const KeyedRecord& record) {
  return 1 + record.key.size() + (record.value ? record.value->size() : 0);
}

// What a record adds to the size that is compared with
// StoreLimits::append_bytes.
inline size_t BytesInAppend(const KeyedRecord& record) {
  return 4 + RecordBytes(record);
}

struct AppendRequest {
  Partition partition;
  // Stored atomically. If empty, the append only sets the epoch of the
  // producer.
  std::vector<KeyedRecord> records;
  std::optional<ProducerPosition> producer;
};

enum class StoreOutcome {
  kStored,
  // The store has seen a higher epoch.
  kFenced,
  // Another sequence number is due: AppendResult::expected_sequence.
  kOutOfSequence,
  // Certainly not stored; the append may be retried.
  kRefused,
  // Certainly not stored, and the same append would be rejected again: it is
  // too large, or malformed.
  kRejected,
  // May have been stored, or may still be stored later.
  kUnknown,
};

struct AppendResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  // Of the first record; set for kStored.
  int64_t offset = 0;
  // Offset after the last record of the partition.
  int64_t end = 0;
  // Set for kOutOfSequence.
  int64_t expected_sequence = 0;
  Error error;
};

enum class ReadOutcome {
  kRead,
  // The requested records are no longer kept.
  kTrimmed,
  kFailed,
};

struct ReadResult {
  ReadOutcome outcome = ReadOutcome::kFailed;
  // Offset after the last record of the partition.
  int64_t end = 0;
  std::vector<KeyedRecord> records;
  Error error;
};

struct NewestPage {
  bool ok = false;
  std::vector<KeyedRecord> records;
  // Whether there are further keys after the last one of this page.
  bool has_more = false;
  // Offset after the last record of the partition.
  int64_t end = 0;
  Error error;
};

class RecordStore {
 public:
  virtual ~RecordStore() = default;

  // Callbacks run exactly once, on the loop of the scheduler, and never before
  // the call returns.
  virtual void Append(const AppendRequest& request, Milliseconds timeout,
                      std::function<void(const AppendResult&)> done) = 0;
  // Long poll: answers as soon as there is a record at offset `from` or after
  // it, or after `wait`.
  virtual void Read(const Partition& partition, int64_t from, Milliseconds wait,
                    Milliseconds timeout,
                    std::function<void(const ReadResult&)> done) = 0;
  // One page of the newest records of all keys after `after_key`, in the order
  // of keys.
  virtual void ReadNewest(const Partition& partition,
                          const std::string& after_key, Milliseconds timeout,
                          std::function<void(const NewestPage&)> done) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_RECORD_STORE_H_
