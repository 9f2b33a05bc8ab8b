// Builds records and streams of jobs, and the state that results from them.
#ifndef THORNPLANK_TESTS_STATE_JOB_STREAM_FIXTURES_H_
#define THORNPLANK_TESTS_STATE_JOB_STREAM_FIXTURES_H_

#include <string>
#include <vector>

#include "state/job_stream_state.h"

namespace thornplank {

inline JobStreamRecord MakeSubmitted(const std::string& id) {
  JobRequest job;
  job.spec.id = id;
  job.spec.account = "north";
  job.spec.shape = {2, 4, Adjacency::kRack};
  job.task = {{"run_ms", 50}};
  return SubmittedRecord{job};
}

inline JobStreamRecord MakeCancelled(const std::string& id) {
  return CancelledRecord{id, "operator"};
}

inline JobStreamRecord MakeEpoch(int64_t number, const std::string& holder) {
  return EpochRecord{number, holder, holder + "-1"};
}

inline JobStreamRecord MakePlaced(int64_t epoch, int64_t revision,
                                  const std::string& id,
                                  const std::string& gang) {
  return PlacedRecord{epoch, revision, id, gang, {{"w1", gang + "/0", 4}}};
}

inline JobStreamRecord MakePhase(int64_t epoch, int64_t revision,
                                 const std::string& id, JobPhase phase,
                                 int64_t progress_ms = 0) {
  return PhaseRecord{epoch, revision,  id,
                     phase, "because", Milliseconds(progress_ms)};
}

// `records` as the log returns them, from `offset` on, after a round trip
// through JSON.
inline std::vector<LogRecord> ToLog(const std::vector<JobStreamRecord>& records,
                                    int64_t offset = 0) {
  std::vector<LogRecord> log;
  for (const JobStreamRecord& record : records) {
    LogRecord entry;
    entry.offset = offset;
    entry.time = FromUnixMilliseconds(1000);
    entry.id = "r" + std::to_string(offset++);
    entry.data = Json::parse(EncodeJobRecord(record).dump());
    log.push_back(entry);
  }
  return log;
}

inline JobStreamState ApplyAll(const std::vector<LogRecord>& log) {
  JobStreamState state{JobRetention{}};
  for (const LogRecord& record : log) state.Apply(record);
  return state;
}

// All that `state` contains as one value, for comparison. The order of
// arrival is omitted, since repeated records shift offsets.
inline Json ContentOf(const JobStreamState& state) {
  Json content = Json::array();
  for (const SnapshotPartRecord& part : state.MakeSnapshot("s", 1000)) {
    content.push_back(part.content);
  }
  for (Json& part : content) {
    for (Json& job : part["jobs"]) job.erase("order");
  }
  return content;
}

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_STATE_JOB_STREAM_FIXTURES_H_
