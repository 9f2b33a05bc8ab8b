// Encodes, decodes and collects snapshots of the job stream.
#include "state/job_snapshot.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

Json EncodeTime(const std::optional<WallTime>& time) {
  return time ? Json(ToUnixMilliseconds(*time)) : Json();
}

std::optional<WallTime> DecodeTime(const Json& data, std::string_view name) {
  const std::optional<int64_t> value = IntField(data, name);
  if (!value) return std::nullopt;
  return FromUnixMilliseconds(*value);
}

Json EncodeEntry(const JobEntry& entry) {
  return {{"job", EncodeJobRequest(entry.request)},
          {"order", entry.request.spec.submitted_order},
          {"phase", std::string(JobPhaseName(entry.phase))},
          {"reason", entry.reason},
          {"gang_id", entry.gang_id},
          {"members", EncodeMembers(entry.members)},
          {"attempts", entry.attempts},
          {"revision", entry.revision},
          {"progress_ms", entry.progress.count()},
          {"submitted_ms", EncodeTime(entry.submitted_at)},
          {"running_ms", EncodeTime(entry.running_at)},
          {"ended_ms", EncodeTime(entry.ended_at)}};
}

std::optional<JobEntry> DecodeEntry(const Json& data) {
  const Json* job = ObjectField(data, "job");
  if (job == nullptr) return std::nullopt;
  std::optional<JobRequest> request = DecodeJobRequest(*job, nullptr);
  const std::optional<JobPhase> phase =
      JobPhaseFromName(StringField(data, "phase").value_or(""));
  const std::optional<WallTime> submitted_at = DecodeTime(data, "submitted_ms");
  if (!request || !phase || !submitted_at) return std::nullopt;
  JobEntry entry;
  entry.request = std::move(*request);
  entry.request.spec.submitted_order = IntField(data, "order").value_or(0);
  entry.phase = *phase;
  entry.reason = StringField(data, "reason").value_or("");
  entry.gang_id = StringField(data, "gang_id").value_or("");
  entry.members = DecodeMembers(ArrayField(data, "members"));
  entry.attempts = static_cast<int>(IntField(data, "attempts").value_or(0));
  entry.revision = IntField(data, "revision").value_or(0);
  entry.progress = DecodeProgress(data);
  entry.submitted_at = *submitted_at;
  entry.running_at = DecodeTime(data, "running_ms");
  entry.ended_at = DecodeTime(data, "ended_ms");
  return entry;
}

Json EncodeHead(const JobTable& jobs, const EpochTable& epochs) {
  const CoordinatorEpoch& epoch = epochs.current();
  Json forgotten = Json::array();
  for (const std::string& id : jobs.refused_ids()) forgotten.push_back(id);
  return {{"epoch", epoch.number},
          {"holder", epoch.holder},
          {"incarnation", epoch.incarnation},
          {"resigned", epoch.resigned},
          {"forgotten", std::move(forgotten)}};
}

void RestoreHead(const Json& head, JobTable* jobs, EpochTable* epochs) {
  CoordinatorEpoch epoch;
  epoch.number = IntField(head, "epoch").value_or(0);
  epoch.holder = StringField(head, "holder").value_or("");
  epoch.incarnation = StringField(head, "incarnation").value_or("");
  epoch.resigned = BoolField(head, "resigned").value_or(false);
  epochs->Restore(epoch);
  const Json* forgotten = ArrayField(head, "forgotten");
  if (forgotten == nullptr) return;
  for (const Json& id : *forgotten) {
    if (id.is_string()) jobs->RestoreRefusedId(id.get<std::string>());
  }
}

// Jobs that are not final by id, then final jobs in the order in which they
// ended.
std::vector<const JobEntry*> EntriesInOrder(const JobTable& jobs) {
  std::vector<const JobEntry*> entries;
  entries.reserve(jobs.jobs().size());
  for (const auto& [id, entry] : jobs.jobs()) {
    if (!IsFinal(entry.phase)) entries.push_back(&entry);
  }
  for (const std::string& id : jobs.final_order()) {
    entries.push_back(jobs.Find(id));
  }
  return entries;
}

}  // namespace

std::vector<SnapshotPartRecord> MakeJobSnapshot(const std::string& snapshot_id,
                                                int64_t covers,
                                                const JobTable& jobs,
                                                const EpochTable& epochs,
                                                size_t jobs_per_part) {
  const std::vector<const JobEntry*> entries = EntriesInOrder(jobs);
  const size_t step = std::max<size_t>(1, jobs_per_part);
  const size_t count = std::max<size_t>(1, (entries.size() + step - 1) / step);
  std::vector<SnapshotPartRecord> parts;
  parts.reserve(count);
  for (size_t part = 0; part < count; ++part) {
    SnapshotPartRecord record{snapshot_id, static_cast<int>(part),
                              static_cast<int>(count), covers, Json::object()};
    if (part == 0) record.content["head"] = EncodeHead(jobs, epochs);
    Json& array = record.content["jobs"];
    array = Json::array();
    const size_t end = std::min(entries.size(), (part + 1) * step);
    for (size_t i = part * step; i < end; ++i) {
      array.push_back(EncodeEntry(*entries[i]));
    }
    parts.push_back(std::move(record));
  }
  return parts;
}

bool RestoreJobSnapshot(const std::vector<SnapshotPartRecord>& parts,
                        JobTable* jobs, EpochTable* epochs) {
  if (parts.empty()) return false;
  const Json* head = ObjectField(parts.front().content, "head");
  if (head == nullptr) return false;
  RestoreHead(*head, jobs, epochs);
  for (const SnapshotPartRecord& part : parts) {
    const Json* array = ArrayField(part.content, "jobs");
    if (array == nullptr) return false;
    for (const Json& item : *array) {
      std::optional<JobEntry> entry = DecodeEntry(item);
      if (!entry) return false;
      jobs->Restore(std::move(*entry));
    }
  }
  return true;
}

std::optional<std::vector<SnapshotPartRecord>> JobSnapshotCollector::Add(
    SnapshotPartRecord part) {
  if (part.covers < covers_) return std::nullopt;
  if (part.snapshot_id != snapshot_id_) {
    snapshot_id_ = part.snapshot_id;
    covers_ = part.covers;
    parts_.clear();
  }
  const size_t part_count = static_cast<size_t>(part.parts);
  parts_.emplace(part.part, std::move(part));
  if (parts_.size() != part_count) return std::nullopt;
  std::vector<SnapshotPartRecord> complete;
  complete.reserve(parts_.size());
  for (auto& [number, record] : parts_) complete.push_back(std::move(record));
  // The id is kept, so that a repeat of the last part does not restart the
  // snapshot.
  parts_.clear();
  return complete;
}

}  // namespace thornplank
