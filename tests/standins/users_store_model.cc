// Checks the epochs, sequence numbers and conditions of appends.
#include "standins/users_store_model.h"

namespace thornplank::standins {

namespace {

constexpr size_t kRememberedAppends = 5;

}  // namespace

AppendResult UsersStoreModel::Append(const AppendRequest& request) {
  Log& log = logs_[{request.partition.stream, request.partition.number}];
  AppendResult result;
  result.end = log.end();
  if (IsTooLarge(request.records)) {
    result.outcome = StoreOutcome::kRejected;
    return result;
  }
  if (request.producer) {
    const ProducerPosition& position = *request.producer;
    Producer& producer = log.producers[position.producer];
    if (position.epoch < producer.epoch) {
      result.outcome = StoreOutcome::kFenced;
      return result;
    }
    if (position.epoch == producer.epoch) {
      for (const auto& [sequence, answer] : producer.recent) {
        if (sequence == position.sequence) return answer;
      }
      if (position.sequence != producer.next_sequence) {
        result.outcome = StoreOutcome::kOutOfSequence;
        result.expected_sequence = producer.next_sequence;
        return result;
      }
    }
  }
  result = Store(&log, request.records);
  if (request.producer) {
    Producer& producer = log.producers[request.producer->producer];
    if (request.producer->epoch > producer.epoch) producer.recent.clear();
    producer.epoch = request.producer->epoch;
    producer.next_sequence = request.producer->sequence + 1;
    producer.recent.emplace_back(request.producer->sequence, result);
    if (producer.recent.size() > kRememberedAppends) {
      producer.recent.pop_front();
    }
  }
  return result;
}

bool UsersStoreModel::IsTooLarge(
    const std::vector<KeyedRecord>& records) const {
  size_t bytes = 0;
  for (const KeyedRecord& record : records) {
    if (RecordBytes(record) > limits_.record_bytes) return true;
    bytes += BytesInAppend(record);
  }
  return bytes > limits_.append_bytes;
}

AppendResult UsersStoreModel::Store(Log* log,
                                    const std::vector<KeyedRecord>& records) {
  AppendResult result;
  result.outcome = StoreOutcome::kStored;
  result.offset = log->end();
  for (KeyedRecord record : records) {
    record.offset = log->end();
    if (record.value) {
      log->newest[record.key] = record;
    } else {
      log->newest.erase(record.key);
    }
    log->records.push_back(std::move(record));
  }
  result.end = log->end();
  return result;
}

ReadResult UsersStoreModel::Read(const Partition& partition,
                                 int64_t from) const {
  ReadResult result;
  const auto it = logs_.find({partition.stream, partition.number});
  result.outcome = ReadOutcome::kRead;
  if (it == logs_.end()) return result;
  const Log& log = it->second;
  result.end = log.end();
  if (from < log.first_offset) {
    result.outcome = ReadOutcome::kTrimmed;
    return result;
  }
  for (int64_t offset = from; offset < log.end(); ++offset) {
    result.records.push_back(
        log.records[static_cast<size_t>(offset - log.first_offset)]);
  }
  return result;
}

NewestPage UsersStoreModel::ReadNewest(const Partition& partition,
                                       const std::string& after_key,
                                       size_t limit) const {
  NewestPage page;
  page.ok = true;
  const auto it = logs_.find({partition.stream, partition.number});
  if (it == logs_.end()) return page;
  const Log& log = it->second;
  page.end = log.end();
  auto record = after_key.empty() ? log.newest.begin()
                                  : log.newest.upper_bound(after_key);
  for (; record != log.newest.end(); ++record) {
    if (page.records.size() == limit) {
      page.has_more = true;
      break;
    }
    page.records.push_back(record->second);
  }
  return page;
}

int64_t UsersStoreModel::end(const Partition& partition) const {
  const auto it = logs_.find({partition.stream, partition.number});
  return it == logs_.end() ? 0 : it->second.end();
}

void UsersStoreModel::DropHistory() {
  for (auto& [name, log] : logs_) {
    log.first_offset = log.end();
    log.records.clear();
  }
}

}  // namespace thornplank::standins
