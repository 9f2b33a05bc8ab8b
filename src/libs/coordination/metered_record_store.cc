// Reports thornplank_store_calls_total and thornplank_store_call_seconds.
#include "coordination/metered_record_store.h"

#include <utility>

namespace thornplank {
namespace {

Time Now() { return std::chrono::steady_clock::now(); }

const char* ToLabel(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kStored:
      return "stored";
    case StoreOutcome::kFenced:
      return "fenced";
    case StoreOutcome::kOutOfSequence:
      return "out_of_sequence";
    case StoreOutcome::kRefused:
      return "refused";
    case StoreOutcome::kRejected:
      return "rejected";
    case StoreOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* ToLabel(ReadOutcome outcome) {
  switch (outcome) {
    case ReadOutcome::kRead:
      return "read";
    case ReadOutcome::kTrimmed:
      return "trimmed";
    case ReadOutcome::kFailed:
      return "failed";
  }
  return "failed";
}

}  // namespace

MeteredRecordStore::MeteredRecordStore(RecordStore& store,
                                       MetricsRegistry& metrics)
    : store_(store),
      meter_("thornplank_store",
             "Calls to the store; \"follow\" waits for records.", metrics) {}

void MeteredRecordStore::Append(const AppendRequest& request,
                                Milliseconds timeout,
                                std::function<void(const AppendResult&)> done) {
  store_.Append(request, timeout,
                [this, start_time = Now(),
                 done = std::move(done)](const AppendResult& result) {
                  meter_.Record("append", ToLabel(result.outcome), start_time);
                  done(result);
                });
}

// The duration of a long poll says nothing about the store, so it is counted as
// another kind of call.
void MeteredRecordStore::Read(const Partition& partition, int64_t from,
                              Milliseconds wait, Milliseconds timeout,
                              std::function<void(const ReadResult&)> done) {
  const char* call = wait.count() > 0 ? "follow" : "read";
  store_.Read(partition, from, wait, timeout,
              [this, call, start_time = Now(),
               done = std::move(done)](const ReadResult& result) {
                meter_.Record(call, ToLabel(result.outcome), start_time);
                done(result);
              });
}

void MeteredRecordStore::ReadNewest(
    const Partition& partition, const std::string& after_key,
    Milliseconds timeout, std::function<void(const NewestPage&)> done) {
  store_.ReadNewest(partition, after_key, timeout,
                    [this, start_time = Now(),
                     done = std::move(done)](const NewestPage& page) {
                      meter_.Record("newest", page.ok ? "read" : "failed",
                                    start_time);
                      done(page);
                    });
}

}  // namespace thornplank
