// [version, written, [[worker, incarnation, verdict, left, exclusions], ...]]
// as CBOR; times in milliseconds.
#include "workload/health_record.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/json.h"

namespace thornplank {
namespace {

constexpr int kVersion = 1;
// For an incarnation whose start is not known.
constexpr int64_t kNoStart = -1;
constexpr int kProbationCode = 1;
constexpr int kExcludedCode = 2;
// No evidence lasts longer, exclusions included.
constexpr std::chrono::seconds kMaxAge{60};
// Clocks of instances differ by less. The age of a record that is further ahead
// is not known.
constexpr std::chrono::minutes kMaxClockLead{5};
constexpr std::chrono::seconds kMaxLeft{30};
// The last time that the system clock can represent.
constexpr int64_t kMaxUnixMilliseconds = 9'000'000'000'000;

Json ToRow(const HealthEntry& entry, Time now) {
  const bool excluded = entry.state.verdict == HealthVerdict::kExcluded;
  const Duration left =
      std::max(entry.state.excluded_until - now, Duration::zero());
  const int64_t start = entry.incarnation_start
                            ? ToUnixMilliseconds(*entry.incarnation_start)
                            : kNoStart;
  return Json::array(
      {entry.worker, start, excluded ? kExcludedCode : kProbationCode,
       excluded ? std::chrono::duration_cast<Milliseconds>(left).count() : 0,
       entry.state.exclusions});
}

std::string Encode(const std::vector<HealthEntry>& entries, size_t count,
                   Time now, WallTime wall_now) {
  Json rows = Json::array();
  for (size_t i = 0; i < count; ++i) {
    rows.push_back(ToRow(entries[i], now));
  }
  const Json record =
      Json::array({kVersion, ToUnixMilliseconds(wall_now), std::move(rows)});
  std::string bytes;
  Json::to_cbor(record, bytes);
  return bytes;
}

WallTime ToWallTime(int64_t milliseconds) {
  return FromUnixMilliseconds(
      std::clamp<int64_t>(milliseconds, 0, kMaxUnixMilliseconds));
}

// Throws what the JSON library throws on wrong types.
HealthEntry FromRow(const Json& row, Duration age, Time now) {
  HealthEntry entry;
  entry.worker = row.at(0).get<std::string>();
  const auto start = row.at(1).get<int64_t>();
  if (start != kNoStart) entry.incarnation_start = ToWallTime(start);
  const bool excluded = row.at(2).get<int>() == kExcludedCode;
  const auto left = std::clamp<Duration>(
      Milliseconds(std::clamp<int64_t>(
          row.at(3).get<int64_t>(), 0,
          std::chrono::duration_cast<Milliseconds>(kMaxLeft).count())) -
          age,
      Duration::zero(), kMaxLeft);
  const bool still_excluded = excluded && left > Duration::zero();
  entry.state.verdict =
      still_excluded ? HealthVerdict::kExcluded : HealthVerdict::kProbation;
  if (still_excluded) entry.state.excluded_until = now + left;
  entry.state.exclusions = row.at(4).get<int>();
  return entry;
}

}  // namespace

std::vector<HealthEntry> WorstFirst(std::vector<HealthEntry> entries) {
  const auto severity = [](const HealthEntry& entry) {
    return std::make_tuple(entry.state.excluded_until, entry.state.exclusions);
  };
  std::sort(entries.begin(), entries.end(),
            [&severity](const HealthEntry& a, const HealthEntry& b) {
              const auto first = severity(a);
              const auto second = severity(b);
              return first != second ? first > second : a.worker < b.worker;
            });
  return entries;
}

std::string EncodeHealth(const std::vector<HealthEntry>& entries, Time now,
                         WallTime wall_now) {
  const std::vector<HealthEntry> worst = WorstFirst(entries);
  size_t count = std::min(worst.size(), kMaxHealthEntries);
  std::string bytes = Encode(worst, count, now, wall_now);
  // Only long names of workers make this necessary.
  while (bytes.size() > kMaxHealthRecordBytes && count > 0) {
    count = std::min(count - 1, count * kMaxHealthRecordBytes / bytes.size());
    bytes = Encode(worst, count, now, wall_now);
  }
  return bytes;
}

std::optional<std::vector<HealthEntry>> DecodeHealth(std::string_view bytes,
                                                     Time now,
                                                     WallTime wall_now,
                                                     Error* error) {
  const Json record = ParseCbor(bytes).value_or(Json());
  std::vector<HealthEntry> entries;
  // The JSON library throws on wrong types; no exception leaves this function.
  try {
    const auto version = record.at(0).get<int>();
    if (version != kVersion) {
      SetError(error, "decode health", "store",
               "unknown version " + std::to_string(version));
      return std::nullopt;
    }
    const WallTime written = ToWallTime(record.at(1).get<int64_t>());
    // The clock of the previous leader may be ahead of ours.
    const Duration age = std::max<Duration>(
        std::chrono::duration_cast<Duration>(wall_now - written),
        Duration::zero());
    if (age > kMaxAge || written - wall_now > kMaxClockLead) return entries;
    for (const Json& row : record.at(2)) {
      if (entries.size() == kMaxHealthEntries) break;
      entries.push_back(FromRow(row, age, now));
    }
  } catch (const Json::exception& fault) {
    SetError(error, "decode health", "store", fault.what());
    return std::nullopt;
  }
  return entries;
}

}  // namespace thornplank
