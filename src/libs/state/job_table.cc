// Applies the records of single jobs.
#include "state/job_table.h"

#include <algorithm>
#include <utility>

namespace thornplank {

bool JobTable::Submit(const SubmittedRecord& record, int64_t offset,
                      WallTime time) {
  DropOldJobs(time);
  const std::string& id = record.job.spec.id;
  if (IsKnown(id)) return false;
  JobEntry entry;
  entry.request = record.job;
  entry.request.spec.submitted_order = offset;
  entry.submitted_at = time;
  jobs_.emplace(id, std::move(entry));
  return true;
}

bool JobTable::Cancel(const CancelledRecord& record, WallTime time) {
  DropOldJobs(time);
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) {
    RefuseId(record.job);
    return false;
  }
  if (IsFinal(found->second.phase)) return false;
  EndJob(&found->second, JobPhase::kCancelled,
         record.by.empty() ? "cancelled" : "cancelled by " + record.by, time);
  return true;
}

bool JobTable::Place(const PlacedRecord& record, WallTime time) {
  DropOldJobs(time);
  JobEntry* entry = FindOpen(record.job, record.revision);
  if (entry == nullptr) return false;
  entry->revision = record.revision;
  entry->phase = JobPhase::kStarting;
  entry->reason.clear();
  entry->gang_id = record.gang_id;
  entry->members = record.members;
  entry->running_at.reset();
  ++entry->attempts;
  return true;
}

bool JobTable::ChangePhase(const PhaseRecord& record, WallTime time) {
  DropOldJobs(time);
  JobEntry* entry = FindOpen(record.job, record.revision);
  if (entry == nullptr) return false;
  entry->revision = record.revision;
  entry->progress = std::max(entry->progress, record.progress);
  if (IsFinal(record.phase)) {
    EndJob(entry, record.phase, record.reason, time);
    return true;
  }
  entry->phase = record.phase;
  entry->reason = record.reason;
  if (record.phase == JobPhase::kRunning && !entry->running_at) {
    entry->running_at = time;
  }
  if (record.phase == JobPhase::kWaiting) {
    entry->gang_id.clear();
    entry->members.clear();
    entry->running_at.reset();
  }
  return true;
}

const JobEntry* JobTable::Find(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool JobTable::IsKnown(const std::string& id) const {
  return jobs_.count(id) > 0 || refused_ids_.count(id) > 0;
}

void JobTable::Restore(JobEntry entry) {
  const std::string id = entry.request.spec.id;
  if (IsFinal(entry.phase)) final_order_.push_back(id);
  jobs_[id] = std::move(entry);
}

void JobTable::RestoreRefusedId(const std::string& id) { RefuseId(id); }

JobEntry* JobTable::FindOpen(const std::string& id, int64_t revision) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return nullptr;
  JobEntry& entry = found->second;
  if (IsFinal(entry.phase)) return nullptr;
  return revision > entry.revision ? &entry : nullptr;
}

void JobTable::EndJob(JobEntry* entry, JobPhase phase,
                      const std::string& reason, WallTime time) {
  entry->phase = phase;
  entry->reason = reason;
  entry->gang_id.clear();
  entry->members.clear();
  entry->ended_at = time;
  final_order_.push_back(entry->request.spec.id);
  DropOldJobs(time);
}

void JobTable::DropOldJobs(WallTime now) {
  while (!final_order_.empty()) {
    const std::string id = final_order_.front();
    const WallTime ended_at = jobs_.at(id).ended_at.value_or(now);
    const bool too_many = final_order_.size() > retention_.max_final_jobs;
    if (!too_many && now - ended_at <= retention_.max_final_age) return;
    final_order_.pop_front();
    jobs_.erase(id);
    RefuseId(id);
  }
}

void JobTable::RefuseId(const std::string& id) {
  if (!refused_ids_.insert(id).second) return;
  refused_order_.push_back(id);
  while (refused_order_.size() > retention_.max_refused_ids) {
    refused_ids_.erase(refused_order_.front());
    refused_order_.pop_front();
  }
}

}  // namespace thornplank
