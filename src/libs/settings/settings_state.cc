// Handling of repeated ids, gaps and snapshots in the settings stream.
#include "settings/settings_state.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr char kSnapshotType[] = "snapshot";
constexpr char kWithdrawType[] = "withdraw";
// Number of decisions by which repeated ids are recognised. A writer repeats a
// record within seconds; a repeat that comes later fails at compare-and-set.
constexpr size_t kMaxDecisions = 256;

bool IsType(const Json& data, const char* type) {
  return StringField(data, "type") == type;
}

}  // namespace

Json WithdrawalData(const std::string& author) {
  return {{"type", kWithdrawType}, {"by", author}};
}

std::vector<RecordOutcome> SettingsState::Apply(SettingsRecord record) {
  std::vector<RecordOutcome> outcomes;
  if (record.offset < next_offset_) return outcomes;
  HandleGap(next_offset_, gap_end_.value_or(record.offset));
  if (complete()) {
    ApplyNext(record, &outcomes);
    return outcomes;
  }
  if (!IsType(record.data, kSnapshotType)) {
    records_after_gap_.push_back(std::move(record));
    return outcomes;
  }
  const std::optional<int64_t> covers = IntField(record.data, "covers");
  if (!covers || *covers > record.offset) return outcomes;
  const Json snapshot = std::move(record.data);
  record.data = {{"type", kSnapshotType}};
  records_after_gap_.push_back(std::move(record));
  AdoptSnapshot(snapshot, &outcomes);
  return outcomes;
}

void SettingsState::ApplyNext(const SettingsRecord& record,
                              std::vector<RecordOutcome>* outcomes) {
  next_offset_ = record.offset + 1;
  // Without a gap, all records that the snapshot covers are already applied.
  if (IsType(record.data, kSnapshotType)) return;
  if (FindDecision(record.id)) return;
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
  RememberDecision(record.id, outcome.result);
  outcomes->push_back(std::move(outcome));
}

void SettingsState::HandleGap(int64_t from, int64_t first_kept) {
  if (from >= first_kept || first_kept <= next_offset_) return;
  if (gap_end_ == first_kept) return;
  records_after_gap_.clear();
  gap_end_ = first_kept;
}

SnapshotVerdict SettingsState::AdoptSnapshot(
    const Json& snapshot, std::vector<RecordOutcome>* outcomes) {
  const std::optional<int64_t> covers = IntField(snapshot, "covers");
  if (!covers) return SnapshotVerdict::kMalformed;
  if (*covers <= next_offset_) return SnapshotVerdict::kStale;
  if (gap_end_ && *covers < *gap_end_) return SnapshotVerdict::kLeavesGap;
  std::optional<SnapshotContents> contents = ParseSnapshot(snapshot);
  if (!contents) return SnapshotVerdict::kMalformed;
  tree_ = std::move(contents->tree);
  history_ = std::move(contents->history);
  decisions_ = std::move(contents->decisions);
  next_offset_ = *covers;
  gap_end_.reset();
  const std::vector<SettingsRecord> records =
      std::exchange(records_after_gap_, {});
  for (const SettingsRecord& record : records) {
    if (record.offset < next_offset_) continue;
    ApplyNext(record, outcomes);
  }
  return SnapshotVerdict::kAdopted;
}

std::optional<SettingsState::SnapshotContents> SettingsState::ParseSnapshot(
    const Json& snapshot) {
  const std::optional<int64_t> covers = IntField(snapshot, "covers");
  const Json* tree_json = ObjectField(snapshot, "tree");
  const Json* history_json = ObjectField(snapshot, "history");
  const Json* decisions_json = ArrayField(snapshot, "decided");
  if (!covers || tree_json == nullptr || history_json == nullptr ||
      decisions_json == nullptr) {
    return std::nullopt;
  }
  std::optional<SettingsTree> tree = SettingsTree::FromJson(*tree_json);
  std::optional<SettingsHistory> history =
      SettingsHistory::FromJson(*history_json);
  std::optional<std::deque<Decision>> decisions =
      ParseDecisions(*decisions_json);
  if (!tree || !history || !decisions) return std::nullopt;
  return SnapshotContents{*covers, std::move(*tree), std::move(*history),
                          std::move(*decisions)};
}

bool SettingsState::IsReadable(const Json& snapshot) {
  return ParseSnapshot(snapshot).has_value();
}

Json SettingsState::SnapshotCovering(int64_t covers) const {
  return {{"type", kSnapshotType},
          {"covers", covers},
          {"tree", tree_.ToJson()},
          {"history", history_.ToJson()},
          {"decided", DecisionsToJson()}};
}

Json SettingsState::Snapshot() const { return SnapshotCovering(next_offset_); }

Json SettingsState::RecoverySnapshot() const {
  return SnapshotCovering(gap_end_.value_or(next_offset_));
}

std::optional<ChangeResult> SettingsState::FindDecision(
    const std::string& id) const {
  for (const Decision& decision : decisions_) {
    if (decision.id != id) continue;
    ChangeResult result;
    result.verdict = decision.verdict;
    result.version = decision.version;
    return result;
  }
  return std::nullopt;
}

void SettingsState::RememberDecision(const std::string& id,
                                     const ChangeResult& result) {
  decisions_.push_back({id, result.verdict, result.version});
  if (decisions_.size() > kMaxDecisions) decisions_.pop_front();
}

Json SettingsState::DecisionsToJson() const {
  Json list = Json::array();
  for (const Decision& decision : decisions_) {
    list.push_back({{"id", decision.id},
                    {"verdict", ChangeVerdictName(decision.verdict)},
                    {"version", decision.version}});
  }
  return list;
}

std::optional<std::deque<SettingsState::Decision>>
SettingsState::ParseDecisions(const Json& json) {
  std::deque<Decision> parsed;
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
