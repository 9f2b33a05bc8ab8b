// The users' log store without its transport: keyed topics, conditional and
// fenced appends, by its published protocol.
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
  AppendResult Append(const AppendRequest& request);
  ReadResult Read(const Partition& partition, int64_t from) const;
  // At most `limit` records behind `after_key`.
  NewestPage ReadNewest(const Partition& partition,
                        const std::string& after_key, size_t limit = 500) const;
  int64_t end(const Partition& partition) const;
  // Drops the history of every partition; the newest of each key stays.
  void DropHistory();

 private:
  struct Producer {
    int64_t epoch = -1;
    int64_t next_sequence = 0;
    // The last five appends of the epoch, to answer repeats.
    std::deque<std::pair<int64_t, AppendResult>> recent;
  };
  struct Log {
    std::vector<KeyedRecord> records;
    int64_t first = 0;
    std::map<std::string, KeyedRecord> newest;
    std::map<std::string, Producer> producers;

    int64_t end() const { return first + static_cast<int64_t>(records.size()); }
  };

  AppendResult Store(Log* log, const std::vector<KeyedRecord>& records);

  std::map<std::pair<std::string, int>, Log> logs_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_STORE_MODEL_H_
