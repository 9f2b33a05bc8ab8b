// Keeps requests by id and by handle, and their timers in an ordered set.
#include "routing/request_table.h"

namespace thornplank {

RoutedRequest* RequestTable::Add(const RequestInfo& info) {
  auto [position, added] = by_id_.try_emplace(info.id);
  if (!added) {
    return nullptr;
  }
  RoutedRequest* request = &position->second;
  request->info = info;
  request->handle = ++last_handle_;
  by_handle_.emplace(request->handle, request);
  return request;
}

RoutedRequest* RequestTable::Find(const std::string& id) {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &found->second;
}

void RequestTable::Erase(RoutedRequest* request) {
  SetTimer(request, std::nullopt);
  by_handle_.erase(request->handle);
  const auto found = by_id_.find(request->info.id);
  if (found != by_id_.end()) {
    by_id_.erase(found);
  }
}

void RequestTable::SetTimer(RoutedRequest* request, std::optional<Time> time) {
  if (request->timer == time) {
    return;
  }
  if (request->timer.has_value()) {
    timers_.erase({*request->timer, request->handle});
  }
  request->timer = time;
  if (time.has_value()) {
    timers_.emplace(*time, request->handle);
  }
}

RoutedRequest* RequestTable::FirstDue(Time now) {
  if (timers_.empty() || timers_.begin()->first > now) {
    return nullptr;
  }
  return ByHandle(timers_.begin()->second);
}

std::optional<Time> RequestTable::NextTimer() const {
  if (timers_.empty()) {
    return std::nullopt;
  }
  return timers_.begin()->first;
}

}  // namespace thornplank
