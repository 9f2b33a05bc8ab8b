// Keys and values of the records on the board.
#include "coordination/job_board.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace thornplank {
namespace {

// The first letter of a key is the kind of the record; the job's id follows.
constexpr char kSubmissionKey = 'j';
constexpr char kCancellationKey = 'c';
constexpr char kStateKey = 's';
constexpr char kFailureKey = 'f';
// Followed by the name of the instance.
constexpr char kEntryKey = 'e';
constexpr char kLeaderKey[] = "leader";
constexpr char kHealthKey[] = "health";
constexpr char kRenewalStopsKey[] = "renewals";
constexpr char kDeparturesKey[] = "departures";
constexpr char kProgressKey = 't';
constexpr char kCheckpointKey = 'k';
// Sorts after all other keys.
constexpr char kRosterKey[] = "z-roster";
constexpr char kRosterKeyPrefix[] = "z";
// A record without a value would be a tombstone.
constexpr char kPlaceholderValue[] = "1";

std::string MakeKey(char kind, const std::string& job) { return kind + job; }

std::string EncodeCbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

// The first `bytes` bytes at most, without a part of a UTF-8 character: the
// text is shown to callers as JSON.
std::string Shortened(const std::string& text, size_t bytes) {
  if (text.size() <= bytes) return text;
  const auto continues = [](char byte) {
    return (static_cast<unsigned char>(byte) & 0xC0) == 0x80;
  };
  while (bytes > 0 && continues(text[bytes])) --bytes;
  return text.substr(0, bytes);
}

Json DecodeCbor(const std::string& bytes) {
  return ParseCbor(bytes).value_or(Json());
}

}  // namespace

BoardChange JobBoard::Apply(const KeyedRecord& record) {
  if (record.key == kLeaderKey) return ApplyLeader(record);
  if (record.key == kRosterKey) return ApplyRoster(record);
  if (record.key == kHealthKey) {
    ApplyHealth(record);
    return {};
  }
  if (record.key == kRenewalStopsKey) return ApplyRenewalStops(record);
  if (record.key == kDeparturesKey) {
    ApplyDepartures(record);
    return {};
  }
  if (EarlyCancellations::IsKey(record.key)) {
    return ApplyEarlyCancellation(record);
  }
  if (record.key.size() < 2) return {};
  const std::string id = record.key.substr(1);
  switch (record.key[0]) {
    case kSubmissionKey:
      return ApplySubmission(id, record);
    case kCancellationKey:
      if (!record.value) return {};
      jobs_[id].cancelled = true;
      return {BoardChange::Kind::kCancelled, id};
    case kStateKey:
      return ApplyState(id, record);
    case kFailureKey:
      if (record.value) jobs_[id].failure = *record.value;
      return {};
    case kEntryKey:
      return ApplyEntry(id, record);
    case kProgressKey:
      ApplyNewest(record, &progress_);
      return {};
    case kCheckpointKey:
      ApplyNewest(record, &checkpoints_);
      return {};
    default:
      return {};
  }
}

BoardChange JobBoard::ApplySubmission(const std::string& id,
                                      const KeyedRecord& record) {
  if (!record.value) {
    jobs_.erase(id);
    return {BoardChange::Kind::kDropped, id};
  }
  BoardJob& job = jobs_[id];
  // A repeated submission is the same job.
  if (job.spec != nullptr) return {};
  std::optional<JobDefinition> spec = DecodeJob(*record.value, nullptr);
  if (!spec) return {};
  job.spec = std::make_shared<const JobDefinition>(std::move(*spec));
  job.submission_offset = record.offset;
  const EarlyCancellation* cancellation =
      early_cancellations_.FindFor(*job.spec);
  if (cancellation != nullptr) CancelEarly(*cancellation, &job);
  return {BoardChange::Kind::kSubmitted, id};
}

BoardChange JobBoard::ApplyEarlyCancellation(const KeyedRecord& record) {
  const auto cancellation = early_cancellations_.Apply(record);
  if (!cancellation) return {};
  const auto job = jobs_.find(cancellation->job);
  if (job == jobs_.end() || job->second.spec == nullptr) return {};
  if (!MayAccess(cancellation->caller, *job->second.spec)) return {};
  CancelEarly(*cancellation, &job->second);
  return {BoardChange::Kind::kCancelled, cancellation->job};
}

void JobBoard::CancelEarly(const EarlyCancellation& cancellation,
                           BoardJob* job) {
  job->cancelled = true;
  job->cancelled_early =
      job->cancelled_early || cancellation.offset < job->submission_offset;
}

BoardChange JobBoard::ApplyState(const std::string& id,
                                 const KeyedRecord& record) {
  if (!record.value) return {};
  const Json fields = DecodeCbor(*record.value);
  if (!fields.is_array() || fields.size() != 2 || !fields[0].is_string() ||
      !fields[1].is_number_integer()) {
    return {};
  }
  const auto state = JobStateFromText(fields[0].get<std::string>());
  if (!state) return {};
  BoardJob& job = jobs_[id];
  if (IsTerminal(job.published_state)) return {};
  job.published_state = *state;
  job.published_at = FromUnixMilliseconds(fields[1].get<int64_t>());
  return {BoardChange::Kind::kState, id};
}

BoardChange JobBoard::ApplyLeader(const KeyedRecord& record) {
  if (!record.value) return {};
  const Json fields = DecodeCbor(*record.value);
  if (!fields.is_array() || fields.size() != 3 || !fields[0].is_string() ||
      !fields[1].is_number_integer() || !fields[2].is_boolean()) {
    return {};
  }
  LeaderRecord leader;
  leader.holder = fields[0].get<std::string>();
  leader.epoch = fields[1].get<int64_t>();
  leader.released = fields[2].get<bool>();
  if (leader.epoch < leader_.epoch) return {};
  leader_ = std::move(leader);
  return {BoardChange::Kind::kLeader, ""};
}

BoardChange JobBoard::ApplyEntry(const std::string& instance,
                                 const KeyedRecord& record) {
  const BoardChange change{BoardChange::Kind::kEntry, ""};
  if (!record.value) {
    entries_.erase(instance);
    return change;
  }
  const Json fields = DecodeCbor(*record.value);
  if (!fields.is_array() || fields.size() < 2 || !fields[0].is_string() ||
      !fields[1].is_number_integer()) {
    return {};
  }
  EntryRecord entry;
  entry.address = fields[0].get<std::string>();
  entry.written = FromUnixMilliseconds(fields[1].get<int64_t>());
  const bool has_place =
      fields.size() >= 4 && fields[2].is_number() && fields[3].is_string();
  if (has_place) {
    entry.rank = fields[2].get<double>();
    entry.failure_domain = fields[3].get<std::string>();
  }
  entries_[instance] = std::move(entry);
  return change;
}

BoardChange JobBoard::ApplyRoster(const KeyedRecord& record) {
  std::optional<ReplicaRoster> roster = ParseRoster(record);
  if (!roster || (roster_ && !roster->IsNewerThan(*roster_))) return {};
  roster_ = std::move(roster);
  return {BoardChange::Kind::kRoster, ""};
}

// A snapshot may contain a record that is older than one that was read beside
// it.
void JobBoard::ApplyNewest(
    const KeyedRecord& record,
    std::unordered_map<std::string, KeyedRecord>* records) {
  const auto known = records->find(record.key);
  if (known != records->end() && record.offset < known->second.offset) return;
  if (record.value) {
    (*records)[record.key] = record;
  } else if (known != records->end()) {
    records->erase(known);
  }
}

void JobBoard::ApplyHealth(const KeyedRecord& record) {
  if (health_ && record.offset < health_->offset) return;
  health_.reset();
  if (record.value) health_ = record;
}

BoardChange JobBoard::ApplyRenewalStops(const KeyedRecord& record) {
  if (renewal_stops_ && record.offset < renewal_stops_->offset) return {};
  renewal_stops_.reset();
  if (record.value) renewal_stops_ = record;
  return {BoardChange::Kind::kRenewalStops, ""};
}

void JobBoard::ApplyDepartures(const KeyedRecord& record) {
  if (departures_ && record.offset < departures_->offset) return;
  departures_.reset();
  if (record.value) departures_ = record;
}

void JobBoard::OnSnapshot(const std::set<std::string>& keys) {
  early_cancellations_.OnSnapshot(keys);
  if (keys.count(kHealthKey) == 0) health_.reset();
  if (keys.count(kRenewalStopsKey) == 0) renewal_stops_.reset();
  if (keys.count(kDeparturesKey) == 0) departures_.reset();
  for (auto* records : {&progress_, &checkpoints_}) {
    for (auto it = records->begin(); it != records->end();) {
      const auto record = it++;
      if (keys.count(record->first) == 0) records->erase(record);
    }
  }
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    const auto job = it++;
    const std::string submission = MakeKey(kSubmissionKey, job->first);
    if (keys.count(submission) == 0) jobs_.erase(job);
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto entry = it++;
    const std::string key = MakeKey(kEntryKey, entry->first);
    if (keys.count(key) == 0) entries_.erase(entry);
  }
}

const BoardJob* JobBoard::Find(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() || it->second.spec == nullptr ? nullptr
                                                         : &it->second;
}

std::vector<KeyedRecord> JobBoard::TombstonesOfEarlyCancellations(
    WallTime now) const {
  const auto is_needed = [this](const EarlyCancellation& cancellation) {
    const BoardJob* job = Find(cancellation.job);
    return job != nullptr && !IsTerminal(job->published_state);
  };
  return early_cancellations_.TombstonesOfExpired(now, is_needed);
}

int64_t JobBoard::WaitingJobs(const std::string& queue) const {
  return std::count_if(jobs_.begin(), jobs_.end(), [&queue](const auto& entry) {
    const BoardJob& job = entry.second;
    return job.spec != nullptr && job.state() == JobState::kQueued &&
           job.spec->policy.queue == queue;
  });
}

KeyedRecord JobBoard::Submission(const JobDefinition& job) {
  return {MakeKey(kSubmissionKey, job.id), EncodeJob(job), 0};
}

KeyedRecord JobBoard::Cancellation(const std::string& job) {
  return {MakeKey(kCancellationKey, job), kPlaceholderValue, 0};
}

KeyedRecord JobBoard::State(const std::string& job, JobState state,
                            WallTime when) {
  const Json fields =
      Json::array({std::string(ToText(state)), ToUnixMilliseconds(when)});
  return {MakeKey(kStateKey, job), EncodeCbor(fields), 0};
}

KeyedRecord JobBoard::Failure(const std::string& job,
                              const std::string& reason) {
  return {MakeKey(kFailureKey, job), Shortened(reason, kMaxFailureBytes), 0};
}

KeyedRecord JobBoard::Leader(const LeaderRecord& leader) {
  const Json fields =
      Json::array({leader.holder, leader.epoch, leader.released});
  return {kLeaderKey, EncodeCbor(fields), 0};
}

KeyedRecord JobBoard::Entry(const std::string& instance,
                            const std::optional<EntryRecord>& entry) {
  if (!entry) return {MakeKey(kEntryKey, instance), std::nullopt, 0};
  const Json fields =
      Json::array({entry->address, ToUnixMilliseconds(entry->written),
                   entry->rank, entry->failure_domain});
  return {MakeKey(kEntryKey, instance), EncodeCbor(fields), 0};
}

KeyedRecord JobBoard::Roster(const ReplicaRoster& roster) {
  return {kRosterKey, EncodeCbor(ToJson(roster)), 0};
}

std::string JobBoard::RosterKeyPrefix() { return kRosterKeyPrefix; }

std::optional<ReplicaRoster> JobBoard::ParseRoster(const KeyedRecord& record) {
  if (record.key != kRosterKey || !record.value) return std::nullopt;
  return ReadRoster(DecodeCbor(*record.value));
}

KeyedRecord JobBoard::Progress(const ProgressBlockRef& block,
                               std::optional<std::string> value) {
  return {MakeKey(kProgressKey, block.ToString()), std::move(value), 0};
}

KeyedRecord JobBoard::Checkpoint(const TaskRef& task,
                                 std::optional<std::string> value) {
  return {MakeKey(kCheckpointKey, task.ToString()), std::move(value), 0};
}

KeyedRecord JobBoard::Health(std::string value) {
  return {kHealthKey, std::move(value), 0};
}

KeyedRecord JobBoard::RenewalStops(std::optional<std::string> value) {
  return {kRenewalStopsKey, std::move(value), 0};
}

KeyedRecord JobBoard::Departures(std::optional<std::string> value) {
  return {kDeparturesKey, std::move(value), 0};
}

std::optional<ProgressBlockRef> JobBoard::ParseProgressKey(
    const std::string& key) {
  if (key.empty() || key[0] != kProgressKey) return std::nullopt;
  std::string_view name = key;
  name.remove_prefix(1);
  return ParseProgressBlockRef(name);
}

std::optional<TaskRef> JobBoard::ParseCheckpointKey(const std::string& key) {
  if (key.empty() || key[0] != kCheckpointKey) return std::nullopt;
  std::string_view name = key;
  name.remove_prefix(1);
  return ParseTaskRef(name);
}

std::vector<KeyedRecord> JobBoard::Tombstones(const std::string& id,
                                              const BoardJob& job) {
  std::vector<KeyedRecord> records = {
      {MakeKey(kStateKey, id), std::nullopt, 0},
      {MakeKey(kCancellationKey, id), std::nullopt, 0},
      {MakeKey(kSubmissionKey, id), std::nullopt, 0}};
  if (!job.failure.empty()) {
    records.push_back({MakeKey(kFailureKey, id), std::nullopt, 0});
  }
  return records;
}

}  // namespace thornplank
