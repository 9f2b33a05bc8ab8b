// What may hold a step back though it fits: preferences of the planner.
//
// A preference serves other steps or the speed of this one, and gives way to a
// start that is owed (OwedStarts). What a step needs to run at all, or what
// keeps runs of others safe, is a requirement and not listed here. See "Owed
// starts" in docs/design/scarce-room.md.
#ifndef THORNPLANK_WORKLOAD_PREFERENCE_H_
#define THORNPLANK_WORKLOAD_PREFERENCE_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace thornplank {

// In the order in which they are passed: those that cost others the least come
// first, and those that may cost the step an attempt last.
enum class Preference {
  // A step whose last start crashed its worker starts on an empty one.
  kIsolation,
  // Steps yield to the demand of waiting gangs of higher priority.
  kGangDemand,
  // Capacity is held for waiting gangs of higher priority.
  kHeldCapacity,
  // Workers stay empty for urgent steps.
  kUrgentHeadroom,
  // A gang waits for a single rack.
  kOneRack,
  // A step waits for the rack of its data.
  kDataRack,
  // Workers on probation get nothing but tests.
  kProbation,
  // A step that has failed avoids workers on which runs fail.
  kTrustedWorkers,
};

inline constexpr std::array<Preference, 8> kAllPreferences = {
    Preference::kIsolation,    Preference::kGangDemand,
    Preference::kHeldCapacity, Preference::kUrgentHeadroom,
    Preference::kOneRack,      Preference::kDataRack,
    Preference::kProbation,    Preference::kTrustedWorkers};

// Short text for logs.
std::string_view ToText(Preference preference);

class PreferenceSet {
 public:
  constexpr PreferenceSet() = default;
  constexpr explicit PreferenceSet(Preference only) : bits_(BitOf(only)) {}

  static constexpr PreferenceSet All() {
    PreferenceSet all;
    for (const Preference preference : kAllPreferences) {
      all.bits_ |= BitOf(preference);
    }
    return all;
  }

  constexpr bool Contains(Preference preference) const {
    return (bits_ & BitOf(preference)) != 0;
  }

 private:
  static constexpr uint32_t BitOf(Preference preference) {
    return uint32_t{1} << static_cast<uint32_t>(preference);
  }

  uint32_t bits_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_PREFERENCE_H_
