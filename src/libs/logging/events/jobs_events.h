// Events 500-599: jobs, placement and the coordinator.
#ifndef THORNPLANK_LOGGING_EVENTS_JOBS_EVENTS_H_
#define THORNPLANK_LOGGING_EVENTS_JOBS_EVENTS_H_

#include "logging/event_log.h"

namespace thornplank::events {

inline constexpr Event kEpochWon{500, "epoch-won", Severity::kInfo};
inline constexpr Event kTakeoverDone{501, "takeover-done", Severity::kInfo};
inline constexpr Event kSteppedDown{502, "stepped-down", Severity::kWarning};
inline constexpr Event kGangPlaced{503, "gang-placed", Severity::kInfo};
inline constexpr Event kGangThrottleLifted{504, "gang-lifted", Severity::kInfo};
inline constexpr Event kGangCheckpointed{505, "gang-checkpointed",
                                         Severity::kInfo};
inline constexpr Event kGangStopped{506, "gang-stopped", Severity::kInfo};
inline constexpr Event kLeaseStopped{507, "lease-stopped", Severity::kWarning};
inline constexpr Event kJobPhaseChanged{508, "job-phase-changed",
                                        Severity::kInfo};
inline constexpr Event kShortfall{509, "shortfall", Severity::kWarning};
inline constexpr Event kWorkerQuarantineChanged{510, "worker-judged",
                                                Severity::kWarning};
inline constexpr Event kWorkerLost{511, "worker-lost", Severity::kWarning};
inline constexpr Event kWorkerBack{512, "worker-back", Severity::kInfo};
inline constexpr Event kTokenRefused{513, "token-refused", Severity::kWarning};
inline constexpr Event kEpochClaimed{514, "epoch-claimed", Severity::kInfo};
inline constexpr Event kJobSnapshotAppended{515, "job-snapshot-appended",
                                            Severity::kInfo};
inline constexpr Event kJobStreamGap{516, "job-stream-gap", Severity::kError};
inline constexpr Event kPauseNoticed{517, "pause-noticed", Severity::kWarning};
inline constexpr Event kUrgentJobHeld{518, "urgent-held", Severity::kWarning};
inline constexpr Event kJobRefused{519, "job-refused", Severity::kInfo};
inline constexpr Event kJobRecordLost{520, "job-record-lost", Severity::kError};

}  // namespace thornplank::events

#endif  // THORNPLANK_LOGGING_EVENTS_JOBS_EVENTS_H_
