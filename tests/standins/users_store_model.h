// Model of the users' log store, without its transport: partitions of keyed
// records, conditional appends and fenced appends, as its published protocol
// defines them.
#ifndef THORNPLANK_TESTS_STANDINS_USERS_STORE_MODEL_H_
#define THORNPLANK_TESTS_STANDINS_USERS_STORE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/record_store.h"

namespace thornplank::standins {

class UsersStoreModel {
 public:
  // Appends above these are rejected.
  void set_limits(const StoreLimits& limits) { limits_ = limits; }
  AppendResult Append(const AppendRequest& request);
  ReadResult Read(const Partition& partition, int64_t from) const;
  // At most `limit` newest records of the keys after `after_key`.
  NewestPage ReadNewest(const Partition& partition,
                        const std::string& after_key, size_t limit = 500) const;
  // Offset after the last record.
  int64_t end(const Partition& partition) const;
  // Removes all records from reads by offset. The newest record of each key
  // stays readable by ReadNewest.
  void DropHistory();

 private:
  struct Producer {
    int64_t epoch = -1;
    int64_t next_sequence = 0;
    // Sequence numbers and results of the last kRememberedAppends appends, to
    // answer repeated ones.
    std::deque<std::pair<int64_t, AppendResult>> recent;
  };
  struct Log {
    // records[i] has the offset first_offset + i.
    std::vector<KeyedRecord> records;
    int64_t first_offset = 0;
    // Newest record of each key.
    std::map<std::string, KeyedRecord> newest;
    std::map<std::string, Producer> producers;

    int64_t end() const {
      return first_offset + static_cast<int64_t>(records.size());
    }
  };

  bool IsTooLarge(const std::vector<KeyedRecord>& records) const;
  AppendResult Store(Log* log, const std::vector<KeyedRecord>& records);

  StoreLimits limits_;
  // By stream and partition number.
  std::map<std::pair<std::string, int>, Log> logs_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_STORE_MODEL_H_
