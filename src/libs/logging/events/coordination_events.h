// Events 900-999: the scheduler whose leader is elected through the platform's
// store.
#ifndef THORNPLANK_LOGGING_EVENTS_COORDINATION_EVENTS_H_
#define THORNPLANK_LOGGING_EVENTS_COORDINATION_EVENTS_H_

#include "logging/event_log.h"

namespace thornplank::events {

inline constexpr Event kLeadershipClaimed{900, "lead-claimed", Severity::kInfo};
inline constexpr Event kLeadershipAcquired{901, "lead-taken", Severity::kInfo};
inline constexpr Event kLeadershipLost{902, "lead-lost", Severity::kWarning};
inline constexpr Event kLeadershipReleased{903, "lead-released",
                                           Severity::kInfo};
inline constexpr Event kLeadershipClaimRejected{904, "lead-refused",
                                                Severity::kInfo};
inline constexpr Event kStoreLost{905, "store-lost", Severity::kWarning};
inline constexpr Event kStoreBack{906, "store-back", Severity::kInfo};
inline constexpr Event kConfigurationInForce{907, "configuration-in-force",
                                             Severity::kInfo};
inline constexpr Event kConfigurationUnreadable{908, "configuration-unreadable",
                                                Severity::kError};
inline constexpr Event kRecordUnreadable{909, "record-unreadable",
                                         Severity::kError};
inline constexpr Event kJobAccepted{910, "job-accepted", Severity::kInfo};
inline constexpr Event kJobRefused{911, "job-refused", Severity::kInfo};
inline constexpr Event kJobUndecided{912, "job-undecided", Severity::kWarning};
inline constexpr Event kJobCancelled{913, "job-cancelled", Severity::kInfo};
inline constexpr Event kJobState{914, "job-state", Severity::kInfo};
inline constexpr Event kTasksPlaced{915, "tasks-placed", Severity::kInfo};
inline constexpr Event kStopOrdered{916, "stop-ordered", Severity::kInfo};
inline constexpr Event kRunEnded{917, "run-ended", Severity::kInfo};
inline constexpr Event kStartUndecided{918, "start-undecided",
                                       Severity::kWarning};
inline constexpr Event kStartRefused{919, "start-refused", Severity::kWarning};
inline constexpr Event kRunUnexpected{920, "run-unexpected",
                                      Severity::kWarning};
inline constexpr Event kWorkerSeen{921, "worker-seen", Severity::kInfo};
inline constexpr Event kWorkerSilent{922, "worker-silent", Severity::kWarning};
inline constexpr Event kWorkerBack{923, "worker-back", Severity::kInfo};
inline constexpr Event kWorkerGone{924, "worker-gone", Severity::kWarning};
inline constexpr Event kWorkerLeaving{925, "worker-leaving", Severity::kInfo};
inline constexpr Event kRunStalled{926, "run-stalled", Severity::kWarning};
inline constexpr Event kStateAnswered{927, "state-answered", Severity::kDebug};
inline constexpr Event kStepWaits{928, "step-waits", Severity::kInfo};
inline constexpr Event kAdviceGiven{929, "advice-given", Severity::kInfo};
inline constexpr Event kPaceChanged{931, "pace-changed", Severity::kInfo};
inline constexpr Event kPaceMissed{932, "pace-missed", Severity::kWarning};
inline constexpr Event kStopUndecided{933, "stop-undecided",
                                      Severity::kWarning};
inline constexpr Event kLeaderSeen{934, "leader-seen", Severity::kInfo};
inline constexpr Event kAdviceMissing{930, "advice-missing",
                                      Severity::kWarning};
inline constexpr Event kStartRepeated{935, "start-repeated", Severity::kInfo};
inline constexpr Event kStoreStatusChanged{936, "store-outlook",
                                           Severity::kInfo};
inline constexpr Event kDomainClosed{937, "domain-closed", Severity::kWarning};
inline constexpr Event kDomainOpened{938, "domain-opened", Severity::kInfo};
inline constexpr Event kTaskGivenUp{939, "task-given-up", Severity::kWarning};
inline constexpr Event kStartWithheld{940, "start-withheld", Severity::kInfo};
inline constexpr Event kWorkerResized{941, "worker-resized", Severity::kInfo};

inline constexpr Event kWorkerRestarted{942, "worker-restarted",
                                        Severity::kWarning};
inline constexpr Event kIncarnationStartUnreadable{943, "birth-unreadable",
                                                   Severity::kWarning};
inline constexpr Event kCallForwarded{944, "call-forwarded", Severity::kInfo};
inline constexpr Event kReadForwarded{945, "read-forwarded", Severity::kDebug};
inline constexpr Event kModeChanged{946, "mode-changed", Severity::kInfo};
inline constexpr Event kRosterSeen{947, "roster-seen", Severity::kInfo};
inline constexpr Event kRosterWritten{948, "roster-written", Severity::kInfo};
inline constexpr Event kReplicasSilent{949, "replicas-silent",
                                       Severity::kWarning};
inline constexpr Event kReplicasBack{950, "replicas-back", Severity::kInfo};
inline constexpr Event kFeatureChanged{951, "feature-changed", Severity::kInfo};
inline constexpr Event kWorkerVerdict{953, "worker-verdict", Severity::kInfo};
inline constexpr Event kAccountWaits{954, "account-waits", Severity::kInfo};
inline constexpr Event kFragmentation{955, "fragmentation", Severity::kInfo};
inline constexpr Event kCapacityHeld{952, "capacity-held", Severity::kInfo};
inline constexpr Event kRenewalsStopped{957, "renewals-stopped",
                                        Severity::kInfo};
inline constexpr Event kWorkerUnlisted{956, "worker-unlisted",
                                       Severity::kWarning};
inline constexpr Event kEntriesOutdated{962, "entries-outdated",
                                        Severity::kInfo};
inline constexpr Event kLossCleared{963, "loss-cleared", Severity::kInfo};
inline constexpr Event kDeparturesRecorded{964, "departures-recorded",
                                           Severity::kInfo};
inline constexpr Event kEqualStopsLimited{965, "equal-stops-limited",
                                          Severity::kWarning};
inline constexpr Event kForeignJobCalled{966, "foreign-job-called",
                                         Severity::kWarning};
inline constexpr Event kRecordRejected{967, "record-rejected",
                                       Severity::kError};
inline constexpr Event kCheckpointDropped{968, "checkpoint-dropped",
                                          Severity::kWarning};
inline constexpr Event kSubmissionRead{969, "submission-read", Severity::kInfo};
inline constexpr Event kLostWorkerGone{971, "lost-worker-gone",
                                       Severity::kInfo};
inline constexpr Event kStartOverdue{972, "start-overdue", Severity::kWarning};
inline constexpr Event kUnknownJobCancelled{970, "unknown-job-cancelled",
                                            Severity::kInfo};

}  // namespace thornplank::events

#endif  // THORNPLANK_LOGGING_EVENTS_COORDINATION_EVENTS_H_
