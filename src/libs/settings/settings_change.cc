// Names and JSON form of changes and verdicts.
#include "settings/settings_change.h"

namespace thornplank {
namespace {

constexpr ChangeKind kChangeKinds[] = {ChangeKind::kPut, ChangeKind::kRemove,
                                       ChangeKind::kDocumentPut,
                                       ChangeKind::kDocumentRemove};
constexpr ChangeVerdict kVerdicts[] = {
    ChangeVerdict::kApplied, ChangeVerdict::kLostRace,
    ChangeVerdict::kStaleReview, ChangeVerdict::kInvalid,
    ChangeVerdict::kWithdrawn};

bool HasValue(ChangeKind kind) {
  return kind == ChangeKind::kPut || kind == ChangeKind::kDocumentPut;
}

}  // namespace

std::string_view ChangeKindName(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kPut:
      return "put";
    case ChangeKind::kRemove:
      return "remove";
    case ChangeKind::kDocumentPut:
      return "document-put";
    case ChangeKind::kDocumentRemove:
      return "document-remove";
  }
  return "";
}

std::optional<ChangeKind> ChangeKindFromName(std::string_view name) {
  for (const ChangeKind kind : kChangeKinds) {
    if (ChangeKindName(kind) == name) return kind;
  }
  return std::nullopt;
}

std::string_view ChangeVerdictName(ChangeVerdict verdict) {
  switch (verdict) {
    case ChangeVerdict::kApplied:
      return "applied";
    case ChangeVerdict::kLostRace:
      return "lost-race";
    case ChangeVerdict::kStaleReview:
      return "stale-review";
    case ChangeVerdict::kInvalid:
      return "invalid";
    case ChangeVerdict::kWithdrawn:
      return "withdrawn";
  }
  return "";
}

std::optional<ChangeVerdict> ChangeVerdictFromName(std::string_view name) {
  for (const ChangeVerdict verdict : kVerdicts) {
    if (ChangeVerdictName(verdict) == name) return verdict;
  }
  return std::nullopt;
}

Json ToJson(const SettingsChange& change) {
  Json data = {{"type", ChangeKindName(change.kind)},
               {"path", change.path},
               {"expected_version", change.expected_version},
               {"by", change.author},
               {"time_ms", ToUnixMilliseconds(change.time)}};
  if (HasValue(change.kind)) data["value"] = change.value;
  if (change.reviewed_revision) {
    data["reviewed_revision"] = *change.reviewed_revision;
  }
  return data;
}

std::optional<SettingsChange> ParseSettingsChange(const Json& data) {
  const std::optional<std::string> type = StringField(data, "type");
  const std::optional<std::string> path = StringField(data, "path");
  const std::optional<int64_t> expected = IntField(data, "expected_version");
  const std::optional<std::string> author = StringField(data, "by");
  const std::optional<int64_t> time = IntField(data, "time_ms");
  if (!type || !path || !expected || !author || !time) return std::nullopt;
  const std::optional<ChangeKind> kind = ChangeKindFromName(*type);
  if (!kind) return std::nullopt;
  SettingsChange change;
  change.kind = *kind;
  change.path = *path;
  change.expected_version = *expected;
  change.author = *author;
  change.time = FromUnixMilliseconds(*time);
  change.reviewed_revision = IntField(data, "reviewed_revision");
  if (!HasValue(*kind)) return change;
  const auto value = data.find("value");
  if (value == data.end()) return std::nullopt;
  change.value = *value;
  return change;
}

}  // namespace thornplank
