#include "scheduling/gang.h"

#include <algorithm>
#include <utility>

namespace thornplank {

Gang::Gang(std::string id, std::string job, std::string account,
           std::vector<MemberRecord> members)
    : id_(std::move(id)),
      job_(std::move(job)),
      account_(std::move(account)),
      members_(std::move(members)) {
  for (const MemberRecord& record : members_) {
    accelerators_ += record.member.accelerators;
    ++counts_[static_cast<int>(record.state)];
  }
}

void Gang::SetState(int member, MemberState state, Time now) {
  MemberRecord& record = members_[member];
  --counts_[static_cast<int>(record.state)];
  ++counts_[static_cast<int>(state)];
  record.state = state;
  if (state == MemberState::kConfirmed) record.confirmed_at = now;
}

std::optional<Duration> Gang::MinSavedProgress() const {
  std::optional<Duration> least;
  for (const MemberRecord& record : members_) {
    if (record.state != MemberState::kCheckpointed) continue;
    if (!record.saved_progress) return std::nullopt;
    least = std::min(least.value_or(*record.saved_progress),
                     *record.saved_progress);
  }
  return least;
}

}  // namespace thornplank
