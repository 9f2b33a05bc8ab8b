#include "scheduling/event_calendar.h"

#include <utility>

namespace thornplank {
namespace {

// A borrower should run for at least this many times what saving it takes.
constexpr int kUsefulWorkPerLead = 3;

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

bool EventCalendar::KeepsOff(const EventReservation& event, Time now,
                             Time expected_end, Duration lead) {
  if (event.start <= now) return true;
  if (expected_end <= event.start) return false;
  return now + lead * (1 + kUsefulWorkPerLead) > event.start;
}

}  // namespace thornplank
