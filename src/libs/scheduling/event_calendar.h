// The declared events and the limits that their fixed start times set for
// borrowers.
#ifndef THORNPLANK_SCHEDULING_EVENT_CALENDAR_H_
#define THORNPLANK_SCHEDULING_EVENT_CALENDAR_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/job_types.h"

namespace thornplank {

class EventCalendar {
 public:
  void Set(std::vector<EventReservation> events);
  const std::vector<EventReservation>& events() const { return events_; }
  const EventReservation* Find(const std::string& name) const;

  // Whether a borrower that would start now, is expected to end at
  // `expected_end` and takes `lead_time` to be checkpointed and stopped must
  // not use the event's accelerators. A borrower that is expected to run past
  // the event's start may use them only if it can do enough work before it has
  // to be checkpointed. After the start no borrower may use them.
  static bool MustAvoid(const EventReservation& event, Time now,
                        Time expected_end, Duration lead_time);
  // When the checkpoint of a borrower that takes `lead_time` to be stopped has
  // to begin.
  static Time ReclaimTime(const EventReservation& event, Duration lead_time) {
    return event.start - lead_time;
  }

 private:
  std::vector<EventReservation> events_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_EVENT_CALENDAR_H_
