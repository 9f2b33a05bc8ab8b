// A change to the settings, its verdict, and its form in the settings stream.
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
  // Path of a node ("", "north", "north/claims") or of a document
  // ("events/harvest").
  std::string path;
  // The version that the path must have; 0 if it never existed. A removed path
  // keeps the version of its removal.
  int64_t expected_version = 0;
  // The node's own values, or the document. Unused by removals.
  Json value;
  // Name of the token that the change was requested with.
  std::string author;
  WallTime time;
  // Revision of the tree on which the change was reviewed. A change to
  // guarantees gets kStaleReview if another one was applied since.
  std::optional<int64_t> reviewed_revision;
};

enum class ChangeVerdict {
  kApplied,
  // The version of the path is not the expected one.
  kLostRace,
  // Guarantees changed after the review, which has to be repeated.
  kStaleReview,
  // The change breaks a rule, which the reasons name.
  kInvalid,
  // The writer withdrew the change before it was applied.
  kWithdrawn,
};

// "applied", "lost-race", "stale-review", "invalid", "withdrawn".
std::string_view ChangeVerdictName(ChangeVerdict verdict);
std::optional<ChangeVerdict> ChangeVerdictFromName(std::string_view name);

struct ChangeResult {
  ChangeVerdict verdict = ChangeVerdict::kInvalid;
  // Version of the path after the verdict, whether or not it changed.
  int64_t version = 0;
  // Set for kInvalid: one line for each broken rule.
  std::vector<std::string> reasons;
};

Json ToJson(const SettingsChange& change);
// nullopt when malformed.
std::optional<SettingsChange> ParseSettingsChange(const Json& data);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_CHANGE_H_
