#include "scheduling/event_calendar.h"

#include <utility>

namespace thornplank {
namespace {

// A borrower that would run past the start of an event is started only if it
// can first run for this many times its lead time.
constexpr int kMinRunTimePerLeadTime = 3;

}  // namespace

void EventCalendar::Set(std::vector<EventReservation> events) {
  events_ = std::move(events);
}

const EventReservation* EventCalendar::Find(const std::string& name) const {
  for (const EventReservation& event : events_) {
    if (event.name == name) return &event;
  }
  return nullptr;
}

bool EventCalendar::MustAvoid(const EventReservation& event, Time now,
                              Time expected_end, Duration lead_time) {
  if (event.start <= now) return true;
  if (expected_end <= event.start) return false;
  return now + lead_time * (1 + kMinRunTimePerLeadTime) > event.start;
}

}  // namespace thornplank
