// One change to the settings, as it is proposed, appended and judged.
#ifndef THORNPLANK_SETTINGS_SETTINGS_CHANGE_H_
#define THORNPLANK_SETTINGS_SETTINGS_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "base/time.h"

namespace thornplank {

enum class ChangeKind { kPut, kRemove, kDocumentPut, kDocumentRemove };

// "put", "remove", "document-put", "document-remove".
std::string_view ChangeKindName(ChangeKind kind);
std::optional<ChangeKind> ChangeKindFromName(std::string_view name);

struct SettingsChange {
  ChangeKind kind = ChangeKind::kPut;
  // Of a node ("", "north", "north/claims") or a document ("events/harvest").
  std::string path;
  // The version that the path must have; 0 when it never existed. A removed
  // path keeps the version of its removal.
  int64_t expected_version = 0;
  // The node's own values, or the document. Unused by removals.
  Json value;
  // Name of the token that asked for it.
  std::string by;
  WallTime time;
  // Revision of the tree that was reviewed with this change. A change to
  // guarantees loses when another one was applied after that revision.
  std::optional<int64_t> reviewed_revision;
};

enum class ChangeVerdict {
  kApplied,
  // The path has another version than expected.
  kLostRace,
  // The guarantees changed after the review; review again.
  kStaleReview,
  // Breaks a rule; the reasons say which.
  kInvalid,
  // Withdrawn by its writer before it was folded.
  kWithdrawn,
};

// "applied", "lost-race", "stale-review", "invalid", "withdrawn".
std::string_view ChangeVerdictName(ChangeVerdict verdict);
std::optional<ChangeVerdict> ChangeVerdictFromName(std::string_view name);

struct ChangeResult {
  ChangeVerdict verdict = ChangeVerdict::kInvalid;
  // Version of the path after the verdict.
  int64_t version = 0;
  // Set for kInvalid: one line for each broken rule.
  std::vector<std::string> reasons;
};

Json ToJson(const SettingsChange& change);
// nullopt when malformed.
std::optional<SettingsChange> ParseSettingsChange(const Json& data);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_CHANGE_H_
