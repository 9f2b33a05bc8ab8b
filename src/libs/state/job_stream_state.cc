// Applies the job stream in log order.
#include "state/job_stream_state.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace thornplank {

using Kind = JobStreamChange::Kind;

namespace {

constexpr size_t kMaxRememberedIds = 20000;

}  // namespace

JobStreamState::JobStreamState(JobRetention retention)
    : retention_(retention), jobs_(retention) {}

JobStreamChange JobStreamState::Apply(const LogRecord& record) {
  if (record.offset < next_offset_) return {};
  next_offset_ = record.offset + 1;
  if (!RememberId(record.id)) return {};
  const std::optional<JobStreamRecord> typed = DecodeJobRecord(record.data);
  if (typed && std::holds_alternative<SnapshotPartRecord>(*typed)) {
    return AddSnapshotPart(std::get<SnapshotPartRecord>(*typed));
  }
  if (!complete_) {
    pending_records_.push_back(record);
    return {};
  }
  if (!typed) return {};
  return ApplyTyped(record, *typed);
}

void JobStreamState::SkipLostRecords(int64_t first_kept) {
  if (first_kept <= next_offset_) return;
  complete_ = false;
  pending_records_.clear();
  pending_from_ = first_kept;
  next_offset_ = first_kept;
  collector_.Clear();
}

bool JobStreamState::Restore(const std::vector<SnapshotPartRecord>& parts) {
  if (parts.empty()) return false;
  const int64_t covers = parts.front().covers;
  if (complete_ && covers <= next_offset_) return false;
  if (!complete_ && covers < pending_from_) return false;
  if (!InstallSnapshot(parts)) return false;
  next_offset_ = std::max(next_offset_, covers);
  return true;
}

std::vector<SnapshotPartRecord> JobStreamState::MakeSnapshot(
    const std::string& snapshot_id, size_t jobs_per_part) const {
  if (!complete_) return {};
  return MakeJobSnapshot(snapshot_id, next_offset_, jobs_, epochs_,
                         jobs_per_part);
}

bool JobStreamState::RememberId(const std::string& id) {
  if (!ids_.insert(id).second) return false;
  id_order_.push_back(id);
  if (id_order_.size() > kMaxRememberedIds) {
    ids_.erase(id_order_.front());
    id_order_.pop_front();
  }
  return true;
}

JobStreamChange JobStreamState::ApplyTyped(const LogRecord& record,
                                           const JobStreamRecord& typed) {
  const auto change = [](bool changed, Kind kind, const std::string& job) {
    return changed ? JobStreamChange{kind, job} : JobStreamChange{};
  };
  if (const auto* submitted = std::get_if<SubmittedRecord>(&typed)) {
    return change(jobs_.Submit(*submitted, record.offset, record.time),
                  Kind::kSubmitted, submitted->job.spec.id);
  }
  if (const auto* cancelled = std::get_if<CancelledRecord>(&typed)) {
    return change(jobs_.Cancel(*cancelled, record.time), Kind::kCancelled,
                  cancelled->job);
  }
  if (const auto* placed = std::get_if<PlacedRecord>(&typed)) {
    if (!epochs_.IsInForce(placed->epoch)) return {};
    return change(jobs_.Place(*placed, record.time), Kind::kPlaced,
                  placed->job);
  }
  if (const auto* phase = std::get_if<PhaseRecord>(&typed)) {
    if (!epochs_.IsInForce(phase->epoch)) return {};
    return change(jobs_.ChangePhase(*phase, record.time), Kind::kPhase,
                  phase->job);
  }
  if (const auto* epoch = std::get_if<EpochRecord>(&typed)) {
    return change(epochs_.Claim(*epoch), Kind::kEpoch, "");
  }
  if (const auto* resign = std::get_if<ResignRecord>(&typed)) {
    return change(epochs_.Resign(*resign), Kind::kResigned, "");
  }
  return {};
}

JobStreamChange JobStreamState::AddSnapshotPart(
    const SnapshotPartRecord& part) {
  const auto parts = collector_.Add(part);
  if (!parts) return {};
  if (complete_) {
    newest_snapshot_end_ = std::max(newest_snapshot_end_, part.covers);
    return {};
  }
  if (part.covers < pending_from_) return {};
  if (!InstallSnapshot(*parts)) return {};
  newest_snapshot_end_ = std::max(newest_snapshot_end_, part.covers);
  return {Kind::kRestored, ""};
}

bool JobStreamState::InstallSnapshot(
    const std::vector<SnapshotPartRecord>& parts) {
  JobTable jobs(retention_);
  EpochTable epochs;
  if (!RestoreJobSnapshot(parts, &jobs, &epochs)) return false;
  jobs_ = std::move(jobs);
  epochs_ = epochs;
  complete_ = true;
  const int64_t covers = parts.front().covers;
  const std::vector<LogRecord> tail = std::move(pending_records_);
  pending_records_.clear();
  for (const LogRecord& record : tail) {
    if (record.offset < covers) continue;
    const std::optional<JobStreamRecord> typed = DecodeJobRecord(record.data);
    if (typed) ApplyTyped(record, *typed);
  }
  return true;
}

}  // namespace thornplank
