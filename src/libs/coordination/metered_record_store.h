// Counts the calls to a record store and measures their duration.
#ifndef THORNPLANK_COORDINATION_METERED_RECORD_STORE_H_
#define THORNPLANK_COORDINATION_METERED_RECORD_STORE_H_

#include <functional>
#include <string>

#include "coordination/record_store.h"
#include "metrics/call_meter.h"

namespace thornplank {

class MeteredRecordStore : public RecordStore {
 public:
  // Both must outlive this object.
  MeteredRecordStore(RecordStore& store, MetricsRegistry& metrics);

  void Append(const AppendRequest& request, Milliseconds timeout,
              std::function<void(const AppendResult&)> done) override;
  void Read(const Partition& partition, int64_t from, Milliseconds wait,
            Milliseconds timeout,
            std::function<void(const ReadResult&)> done) override;
  void ReadNewest(const Partition& partition, const std::string& after_key,
                  Milliseconds timeout,
                  std::function<void(const NewestPage&)> done) override;

 private:
  RecordStore& store_;
  CallMeter meter_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_METERED_RECORD_STORE_H_
