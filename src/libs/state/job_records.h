// The records of the stream "jobs" as typed values, and their JSON form.
//
// Decoding never throws; a record of an unknown type or without a needed
// field is nullopt and is skipped by the fold, so that an older entry reads
// the stream of a newer one. See "4. Streams" in docs/PROTOCOLS.md.
#ifndef THORNPLANK_STATE_JOB_RECORDS_H_
#define THORNPLANK_STATE_JOB_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "base/time.h"
#include "scheduling/job_types.h"

namespace thornplank {

// What a caller asked for: the scheduler's part and what is passed through.
struct JobRequest {
  // `submitted_order` is set by the fold.
  JobSpec spec;
  // Readable name for people; not unique.
  std::string name;
  // Handed to the worker with each lease.
  Json task = Json::object();
};

// A job as accepted. Idempotent by job id.
struct SubmittedRecord {
  JobRequest job;
};

// No start of the job after this record.
struct CancelledRecord {
  std::string job;
  // Name of the access token that asked for it.
  std::string by;
};

// The coordinator of `epoch` intends to grant this gang. A takeover learns
// the members from it.
struct PlacedRecord {
  int64_t epoch = 0;
  // Numbers the coordinator's records of one job; see JobEntry::revision.
  int64_t revision = 0;
  std::string job;
  std::string gang_id;
  std::vector<GangMember> members;
};

struct PhaseRecord {
  int64_t epoch = 0;
  int64_t revision = 0;
  std::string job;
  JobPhase phase = JobPhase::kWaiting;
  std::string reason;
  // Run time of the job that completed checkpoints have saved so far; left
  // out of the JSON form when zero.
  Milliseconds progress{0};
};

// A claim to be the coordinator. It wins when `number` is the current epoch
// plus one at its place in the log, so the first of several rivals wins.
struct EpochRecord {
  int64_t number = 0;
  std::string holder;
  // Id of the holder's process, new at each start.
  std::string incarnation;
};

// The holder gives its epoch up, on a planned stop.
struct ResignRecord {
  int64_t epoch = 0;
  std::string holder;
  std::string incarnation;
};

// One part of a snapshot of the fold; see job_snapshot.h.
struct SnapshotPartRecord {
  std::string snapshot_id;
  int part = 0;
  int parts = 1;
  // The snapshot holds the effect of every record with an offset below this.
  int64_t covers = 0;
  // Tables in part; read by job_snapshot.cc.
  Json content = Json::object();
};

using JobStreamRecord =
    std::variant<SubmittedRecord, CancelledRecord, PlacedRecord, PhaseRecord,
                 EpochRecord, ResignRecord, SnapshotPartRecord>;

Json EncodeJobRecord(const JobStreamRecord& record);
std::optional<JobStreamRecord> DecodeJobRecord(const Json& data);

// The form of a job in POST /v1/jobs, in records and in snapshots.
Json EncodeJobRequest(const JobRequest& job);
// nullopt and `*error` (step "read job") with a reason for the caller.
std::optional<JobRequest> DecodeJobRequest(const Json& data, Error* error);

// The field "progress_ms" within its bounds; zero when it is not there.
Milliseconds DecodeProgress(const Json& data);

Json EncodeMembers(const std::vector<GangMember>& members);
std::vector<GangMember> DecodeMembers(const Json* array);

}  // namespace thornplank

#endif  // THORNPLANK_STATE_JOB_RECORDS_H_
