// JSON encoding of the records of the job stream.
#include "state/job_records.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace thornplank {
namespace {

constexpr char kDecodeStep[] = "read job";
// Limits on a single job, far above the size of any cluster.
constexpr int64_t kMaxMembers = 4096;
constexpr int64_t kMaxAcceleratorsPerMember = 1024;
constexpr int64_t kMaxRunTimeMs = int64_t{366} * 24 * 3600 * 1000;
constexpr int64_t kMaxProgressMs = 10 * kMaxRunTimeMs;
constexpr size_t kMaxNameBytes = 200;
constexpr size_t kMaxTaskBytes = 64 * 1024;
// Leaves room for the levels of the records and frames that contain a task.
constexpr int kMaxTaskDepth = 16;

std::string TextOrEmpty(const Json& data, std::string_view name) {
  return StringField(data, name).value_or("");
}

int64_t NumberOrZero(const Json& data, std::string_view name) {
  return IntField(data, name).value_or(0);
}

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

std::nullopt_t Refuse(Error* error, const std::string& reason) {
  SetError(error, kDecodeStep, "", reason);
  return std::nullopt;
}

// An optional whole number within [low, high]; `fallback` if absent.
std::optional<int64_t> BoundedField(const Json& data, std::string_view name,
                                    int64_t fallback, int64_t low, int64_t high,
                                    Error* error) {
  if (data.find(std::string(name)) == data.end()) return fallback;
  const std::optional<int64_t> value = IntField(data, name);
  if (value && *value >= low && *value <= high) return value;
  return Refuse(error, "\"" + std::string(name) +
                           "\" must be a whole number from " +
                           std::to_string(low) + " to " + std::to_string(high));
}

// An optional string of limited length; empty if absent.
std::optional<std::string> NameField(const Json& data, std::string_view name,
                                     Error* error) {
  if (data.find(std::string(name)) == data.end()) return std::string();
  const std::optional<std::string> value = StringField(data, name);
  if (value && value->size() <= kMaxNameBytes) return value;
  return Refuse(error, "\"" + std::string(name) +
                           "\" must be a string of at most " +
                           std::to_string(kMaxNameBytes) + " bytes");
}

bool DecodeShape(const Json& data, Shape* shape, Error* error) {
  const auto members = BoundedField(data, "members", 1, 1, kMaxMembers, error);
  if (!members) return false;
  const auto accelerators = BoundedField(data, "accelerators", 1, 1,
                                         kMaxAcceleratorsPerMember, error);
  if (!accelerators) return false;
  const auto adjacency = NameField(data, "adjacency", error);
  if (!adjacency) return false;
  if (*adjacency != "" && *adjacency != "none" && *adjacency != "rack") {
    Refuse(error, "\"adjacency\" must be \"none\" or \"rack\"");
    return false;
  }
  shape->members = static_cast<int>(*members);
  shape->accelerators_per_member = static_cast<int>(*accelerators);
  shape->adjacency =
      *adjacency == "rack" ? Adjacency::kRack : Adjacency::kAnywhere;
  return true;
}

bool DecodeNames(const Json& data, JobRequest* job, Error* error) {
  const auto id = NameField(data, "id", error);
  if (!id) return false;
  const auto name = NameField(data, "name", error);
  if (!name) return false;
  const auto account = NameField(data, "account", error);
  if (!account) return false;
  const auto event = NameField(data, "event", error);
  if (!event) return false;
  job->spec.id = *id;
  job->name = *name;
  job->spec.account = *account;
  job->spec.event = *event;
  return true;
}

bool DecodeTask(const Json& data, JobRequest* job, Error* error) {
  const auto found = data.find("task");
  if (found == data.end()) return true;
  if (!found->is_object()) {
    Refuse(error, "\"task\" must be an object");
    return false;
  }
  if (IsDeeperThan(*found, kMaxTaskDepth)) {
    Refuse(error, "\"task\" is nested deeper than " +
                      std::to_string(kMaxTaskDepth) + " levels");
    return false;
  }
  if (found->dump(-1, ' ', false, Json::error_handler_t::replace).size() >
      kMaxTaskBytes) {
    Refuse(error, "\"task\" is larger than " + std::to_string(kMaxTaskBytes) +
                      " bytes");
    return false;
  }
  job->task = *found;
  return true;
}

Json Encode(const SubmittedRecord& record) {
  return {{"type", "submitted"}, {"job", EncodeJobRequest(record.job)}};
}

Json Encode(const CancelledRecord& record) {
  return {{"type", "cancelled"}, {"job_id", record.job}, {"by", record.by}};
}

Json Encode(const PlacedRecord& record) {
  return {{"type", "placed"},
          {"epoch", record.epoch},
          {"revision", record.revision},
          {"job_id", record.job},
          {"gang_id", record.gang_id},
          {"members", EncodeMembers(record.members)}};
}

Json Encode(const PhaseRecord& record) {
  Json json = {{"type", "phase"},
               {"epoch", record.epoch},
               {"revision", record.revision},
               {"job_id", record.job},
               {"phase", std::string(JobPhaseName(record.phase))},
               {"reason", record.reason}};
  if (record.progress > Milliseconds(0)) {
    json["progress_ms"] = record.progress.count();
  }
  return json;
}

Json Encode(const EpochRecord& record) {
  return {{"type", "epoch"},
          {"number", record.number},
          {"previous", record.number - 1},
          {"holder", record.holder},
          {"incarnation", record.incarnation}};
}

Json Encode(const ResignRecord& record) {
  return {{"type", "resign"},
          {"epoch", record.epoch},
          {"holder", record.holder},
          {"incarnation", record.incarnation}};
}

Json Encode(const SnapshotPartRecord& record) {
  return {{"type", "snapshot"},      {"snapshot_id", record.snapshot_id},
          {"part", record.part},     {"parts", record.parts},
          {"covers", record.covers}, {"content", record.content}};
}

std::optional<JobStreamRecord> DecodeSubmitted(const Json& data) {
  const Json* job = ObjectField(data, "job");
  if (job == nullptr) return std::nullopt;
  std::optional<JobRequest> request = DecodeJobRequest(*job, nullptr);
  if (!request || request->spec.id.empty()) return std::nullopt;
  return SubmittedRecord{std::move(*request)};
}

std::optional<JobStreamRecord> DecodePlaced(const Json& data) {
  return PlacedRecord{NumberOrZero(data, "epoch"),
                      NumberOrZero(data, "revision"),
                      TextOrEmpty(data, "job_id"), TextOrEmpty(data, "gang_id"),
                      DecodeMembers(ArrayField(data, "members"))};
}

std::optional<JobStreamRecord> DecodePhase(const Json& data) {
  const std::optional<JobPhase> phase =
      JobPhaseFromName(TextOrEmpty(data, "phase"));
  if (!phase) return std::nullopt;
  return PhaseRecord{
      NumberOrZero(data, "epoch"), NumberOrZero(data, "revision"),
      TextOrEmpty(data, "job_id"), *phase,
      TextOrEmpty(data, "reason"), DecodeProgress(data)};
}

std::optional<JobStreamRecord> DecodeSnapshotPart(const Json& data) {
  const Json* content = ObjectField(data, "content");
  const int64_t part = NumberOrZero(data, "part");
  const int64_t parts = NumberOrZero(data, "parts");
  if (content == nullptr || part < 0 || part >= parts) return std::nullopt;
  if (parts > std::numeric_limits<int>::max()) return std::nullopt;
  return SnapshotPartRecord{TextOrEmpty(data, "snapshot_id"),
                            static_cast<int>(part), static_cast<int>(parts),
                            NumberOrZero(data, "covers"), *content};
}

}  // namespace

Milliseconds DecodeProgress(const Json& data) {
  return Milliseconds(std::clamp<int64_t>(NumberOrZero(data, "progress_ms"), 0,
                                          kMaxProgressMs));
}

Json EncodeJobRecord(const JobStreamRecord& record) {
  return std::visit([](const auto& typed) { return Encode(typed); }, record);
}

std::optional<JobStreamRecord> DecodeJobRecord(const Json& data) {
  const std::string type = TextOrEmpty(data, "type");
  if (type == "submitted") return DecodeSubmitted(data);
  if (type == "cancelled") {
    return CancelledRecord{TextOrEmpty(data, "job_id"),
                           TextOrEmpty(data, "by")};
  }
  if (type == "placed") return DecodePlaced(data);
  if (type == "phase") return DecodePhase(data);
  if (type == "epoch") {
    return EpochRecord{NumberOrZero(data, "number"),
                       TextOrEmpty(data, "holder"),
                       TextOrEmpty(data, "incarnation")};
  }
  if (type == "resign") {
    return ResignRecord{NumberOrZero(data, "epoch"),
                        TextOrEmpty(data, "holder"),
                        TextOrEmpty(data, "incarnation")};
  }
  if (type == "snapshot") return DecodeSnapshotPart(data);
  return std::nullopt;
}

Json EncodeJobRequest(const JobRequest& job) {
  const JobSpec& spec = job.spec;
  return {
      {"id", spec.id},
      {"name", job.name},
      {"account", spec.account},
      {"members", spec.shape.members},
      {"accelerators", spec.shape.accelerators_per_member},
      {"adjacency", spec.shape.adjacency == Adjacency::kRack ? "rack" : "none"},
      {"run_time_ms", ToMilliseconds(spec.declared_run_time)},
      {"priority", spec.priority == Priority::kUrgent ? "urgent" : "normal"},
      {"event", spec.event},
      {"task", job.task}};
}

std::optional<JobRequest> DecodeJobRequest(const Json& data, Error* error) {
  if (!data.is_object()) return Refuse(error, "the job must be an object");
  JobRequest job;
  if (!DecodeNames(data, &job, error)) return std::nullopt;
  if (!DecodeShape(data, &job.spec.shape, error)) return std::nullopt;
  const auto run_time =
      BoundedField(data, "run_time_ms", 0, 0, kMaxRunTimeMs, error);
  if (!run_time) return std::nullopt;
  job.spec.declared_run_time = Milliseconds(*run_time);
  const auto priority = NameField(data, "priority", error);
  if (!priority) return std::nullopt;
  if (*priority != "" && *priority != "normal" && *priority != "urgent") {
    return Refuse(error, "\"priority\" must be \"normal\" or \"urgent\"");
  }
  job.spec.priority =
      *priority == "urgent" ? Priority::kUrgent : Priority::kNormal;
  if (!DecodeTask(data, &job, error)) return std::nullopt;
  return job;
}

Json EncodeMembers(const std::vector<GangMember>& members) {
  Json array = Json::array();
  for (const GangMember& member : members) {
    array.push_back({{"worker", member.worker},
                     {"lease_id", member.lease_id},
                     {"accelerators", member.accelerators}});
  }
  return array;
}

std::vector<GangMember> DecodeMembers(const Json* array) {
  std::vector<GangMember> members;
  if (array == nullptr) return members;
  members.reserve(array->size());
  for (const Json& item : *array) {
    members.push_back({TextOrEmpty(item, "worker"),
                       TextOrEmpty(item, "lease_id"),
                       static_cast<int>(NumberOrZero(item, "accelerators"))});
  }
  return members;
}

}  // namespace thornplank
