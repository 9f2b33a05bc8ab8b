// Order, repeats, gaps and snapshots of the settings stream.
#include "settings/settings_replica.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr char kSnapshotType[] = "snapshot";
constexpr char kWithdrawType[] = "withdraw";
// Ids that a repeat is recognised by. A repeat comes within the seconds that
// a writer tries; a later one still fails at compare-and-set.
constexpr size_t kMaxDecided = 256;

bool IsType(const Json& data, const char* type) {
  return StringField(data, "type") == type;
}

}  // namespace

Json WithdrawalData(const std::string& by) {
  return {{"type", kWithdrawType}, {"by", by}};
}

std::vector<RecordOutcome> SettingsReplica::Apply(SettingsRecord record) {
  std::vector<RecordOutcome> outcomes;
  if (record.offset < next_offset_) return outcomes;
  HandleGap(next_offset_, resume_at_.value_or(record.offset));
  if (complete()) {
    ApplyNext(record, &outcomes);
    return outcomes;
  }
  if (!IsType(record.data, kSnapshotType)) {
    waiting_.push_back(std::move(record));
    return outcomes;
  }
  const std::optional<int64_t> covers = IntField(record.data, "covers");
  if (!covers || *covers > record.offset) return outcomes;
  const Json snapshot = std::move(record.data);
  record.data = {{"type", kSnapshotType}};
  waiting_.push_back(std::move(record));
  Adopt(snapshot, &outcomes);
  return outcomes;
}

void SettingsReplica::ApplyNext(const SettingsRecord& record,
                                std::vector<RecordOutcome>* outcomes) {
  next_offset_ = record.offset + 1;
  // All that a snapshot of this stream can cover is folded already.
  if (IsType(record.data, kSnapshotType)) return;
  if (Decision(record.id)) return;
  RecordOutcome outcome{record.offset, record.id, {}, {}, false};
  if (IsType(record.data, kWithdrawType)) {
    outcome.result.verdict = ChangeVerdict::kWithdrawn;
  } else if (std::optional<SettingsChange> change =
                 ParseSettingsChange(record.data)) {
    outcome.change = std::move(*change);
    outcome.result = tree_.Apply(outcome.change);
  } else {
    outcome.malformed = true;
  }
  if (outcome.result.verdict == ChangeVerdict::kApplied) {
    history_.Add(outcome.change, outcome.result.version);
  }
  Remember(record.id, outcome.result);
  outcomes->push_back(std::move(outcome));
}

void SettingsReplica::HandleGap(int64_t from, int64_t first_kept) {
  if (from >= first_kept || first_kept <= next_offset_) return;
  if (resume_at_ == first_kept) return;
  waiting_.clear();
  resume_at_ = first_kept;
}

SnapshotVerdict SettingsReplica::Adopt(const Json& snapshot,
                                       std::vector<RecordOutcome>* outcomes) {
  const std::optional<int64_t> covers = IntField(snapshot, "covers");
  if (!covers) return SnapshotVerdict::kMalformed;
  if (*covers <= next_offset_) return SnapshotVerdict::kStale;
  if (resume_at_ && *covers < *resume_at_) return SnapshotVerdict::kLeavesGap;
  std::optional<State> state = ParseSnapshot(snapshot);
  if (!state) return SnapshotVerdict::kMalformed;
  tree_ = std::move(state->tree);
  history_ = std::move(state->history);
  decided_ = std::move(state->decided);
  next_offset_ = *covers;
  resume_at_.reset();
  const std::vector<SettingsRecord> waiting = std::exchange(waiting_, {});
  for (const SettingsRecord& record : waiting) {
    if (record.offset < next_offset_) continue;
    ApplyNext(record, outcomes);
  }
  return SnapshotVerdict::kAdopted;
}

std::optional<SettingsReplica::State> SettingsReplica::ParseSnapshot(
    const Json& snapshot) {
  const std::optional<int64_t> covers = IntField(snapshot, "covers");
  const Json* tree_json = ObjectField(snapshot, "tree");
  const Json* history_json = ObjectField(snapshot, "history");
  const Json* decided_json = ArrayField(snapshot, "decided");
  if (!covers || tree_json == nullptr || history_json == nullptr ||
      decided_json == nullptr) {
    return std::nullopt;
  }
  std::optional<SettingsTree> tree = SettingsTree::FromJson(*tree_json);
  std::optional<SettingsHistory> history =
      SettingsHistory::FromJson(*history_json);
  std::optional<std::deque<Decided>> decided = ParseDecided(*decided_json);
  if (!tree || !history || !decided) return std::nullopt;
  return State{*covers, std::move(*tree), std::move(*history),
               std::move(*decided)};
}

bool SettingsReplica::Readable(const Json& snapshot) {
  return ParseSnapshot(snapshot).has_value();
}

Json SettingsReplica::SnapshotCovering(int64_t covers) const {
  return {{"type", kSnapshotType},
          {"covers", covers},
          {"tree", tree_.ToJson()},
          {"history", history_.ToJson()},
          {"decided", DecidedToJson()}};
}

Json SettingsReplica::Snapshot() const {
  return SnapshotCovering(next_offset_);
}

Json SettingsReplica::RecoverySnapshot() const {
  return SnapshotCovering(resume_at_.value_or(next_offset_));
}

std::optional<ChangeResult> SettingsReplica::Decision(
    const std::string& id) const {
  for (const Decided& decided : decided_) {
    if (decided.id != id) continue;
    ChangeResult result;
    result.verdict = decided.verdict;
    result.version = decided.version;
    return result;
  }
  return std::nullopt;
}

void SettingsReplica::Remember(const std::string& id,
                               const ChangeResult& result) {
  decided_.push_back({id, result.verdict, result.version});
  if (decided_.size() > kMaxDecided) decided_.pop_front();
}

Json SettingsReplica::DecidedToJson() const {
  Json list = Json::array();
  for (const Decided& decided : decided_) {
    list.push_back({{"id", decided.id},
                    {"verdict", ChangeVerdictName(decided.verdict)},
                    {"version", decided.version}});
  }
  return list;
}

std::optional<std::deque<SettingsReplica::Decided>>
SettingsReplica::ParseDecided(const Json& json) {
  std::deque<Decided> parsed;
  for (const Json& item : json) {
    const std::optional<std::string> id = StringField(item, "id");
    const std::optional<int64_t> version = IntField(item, "version");
    const std::optional<ChangeVerdict> verdict =
        ChangeVerdictFromName(StringField(item, "verdict").value_or(""));
    if (!id || !version || !verdict) return std::nullopt;
    parsed.push_back({*id, *verdict, *version});
  }
  return parsed;
}

}  // namespace thornplank
