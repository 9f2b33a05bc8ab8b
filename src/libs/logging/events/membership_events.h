// Events 600-699: membership and the peer protocol.
#ifndef THORNPLANK_LOGGING_EVENTS_MEMBERSHIP_EVENTS_H_
#define THORNPLANK_LOGGING_EVENTS_MEMBERSHIP_EVENTS_H_

#include "logging/event_log.h"

namespace thornplank::events {

inline constexpr Event kPeerLinkUp{600, "peer-link-up", Severity::kInfo};
inline constexpr Event kPeerLinkDown{601, "peer-link-down", Severity::kWarning};
inline constexpr Event kPeerRefused{602, "peer-refused", Severity::kWarning};
inline constexpr Event kMemberChanged{603, "member-changed", Severity::kInfo};
inline constexpr Event kSnapshotFetched{604, "snapshot-fetched",
                                        Severity::kInfo};
inline constexpr Event kSnapshotFetchFailed{605, "snapshot-fetch-failed",
                                            Severity::kWarning};

}  // namespace thornplank::events

#endif  // THORNPLANK_LOGGING_EVENTS_MEMBERSHIP_EVENTS_H_
