// The records of the stream "jobs" as typed values, and their JSON encoding.
//
// Decoding never throws. A record of an unknown type or without a required
// field decodes to nullopt and is skipped when the stream is applied, so that
// an older entry can read the stream of a newer one. See "4. Streams" in
// docs/PROTOCOLS.md.
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

// A job as requested by a caller: the part for the scheduler and the part that
// is passed through to the worker.
struct JobRequest {
  // `submitted_order` is set when the record is applied.
  JobSpec spec;
  // Name for display; not unique.
  std::string name;
  // Passed to the worker with each lease.
  Json task = Json::object();
};

// A job was accepted. Repeats with the same job id are ignored.
struct SubmittedRecord {
  JobRequest job;
};

// A job was cancelled. It is not started after this record.
struct CancelledRecord {
  std::string job;
  // Name of the access token that asked for it.
  std::string by;
};

// The coordinator of `epoch` is about to grant this gang. A new coordinator
// learns the members from this record.
struct PlacedRecord {
  int64_t epoch = 0;
  // Sequence number of the coordinator's records about the job; see
  // JobEntry::revision.
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
  // Run time of the job that completed checkpoints have saved so far. Omitted
  // from the JSON if zero.
  Milliseconds progress{0};
};

// A claim to be the coordinator. It wins if `number` is one more than the
// current epoch at its position in the log, so that the first of several claims
// wins.
struct EpochRecord {
  int64_t number = 0;
  std::string holder;
  // Id of the holder's process, which is new at each start.
  std::string incarnation;
};

// The holder resigns its epoch because it stops as planned.
struct ResignRecord {
  int64_t epoch = 0;
  std::string holder;
  std::string incarnation;
};

// One part of a snapshot of the stream's state; see job_snapshot.h.
struct SnapshotPartRecord {
  std::string snapshot_id;
  // Index of this part, from 0, and the number of parts.
  int part = 0;
  int parts = 1;
  // The snapshot contains the effect of all records with offsets below this.
  int64_t covers = 0;
  // A part of the tables, encoded by job_snapshot.cc.
  Json content = Json::object();
};

using JobStreamRecord =
    std::variant<SubmittedRecord, CancelledRecord, PlacedRecord, PhaseRecord,
                 EpochRecord, ResignRecord, SnapshotPartRecord>;

Json EncodeJobRecord(const JobStreamRecord& record);
std::optional<JobStreamRecord> DecodeJobRecord(const Json& data);

// Encodes a job as in POST /v1/jobs, records and snapshots.
Json EncodeJobRequest(const JobRequest& job);
// Returns nullopt and sets `*error` (step "read job") to a reason for the
// caller if the job is malformed.
std::optional<JobRequest> DecodeJobRequest(const Json& data, Error* error);

// The field "progress_ms", clamped to its bounds; zero if absent.
Milliseconds DecodeProgress(const Json& data);

Json EncodeMembers(const std::vector<GangMember>& members);
std::vector<GangMember> DecodeMembers(const Json* array);

}  // namespace thornplank

#endif  // THORNPLANK_STATE_JOB_RECORDS_H_
