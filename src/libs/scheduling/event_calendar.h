// The declared events and what their fixed starts forbid to borrowers.
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

  // Whether a borrower that would start now, end at `expected_end` and need
  // `lead_time` to be saved and stopped must keep off the event's accelerators.
  // One that crosses the start may use them only when it can do useful work
  // first and still be saved in time.
  static bool MustAvoid(const EventReservation& event, Time now,
                        Time expected_end, Duration lead_time);
  // When a borrower that needs `lead_time` has to be moved off.
  static Time ReclaimTime(const EventReservation& event, Duration lead_time) {
    return event.start - lead_time;
  }

 private:
  std::vector<EventReservation> events_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_EVENT_CALENDAR_H_
