// A list in the order of use, with the position of each connection.
#include "net/idle_connections.h"

#include <iterator>
#include <utility>

namespace thornplank {

std::vector<IdleConnections::Entry> IdleConnections::Add(
    std::weak_ptr<ClientPool> pool,
    std::shared_ptr<ClientConnection> connection) {
  std::vector<Entry> excess;
  std::lock_guard lock(mutex_);
  const ClientConnection* key = connection.get();
  if (positions_.count(key) > 0) return excess;
  entries_.push_back({std::move(pool), std::move(connection)});
  positions_[key] = std::prev(entries_.end());
  while (limit_ > 0 && entries_.size() > limit_) {
    positions_.erase(entries_.front().connection.get());
    excess.push_back(std::move(entries_.front()));
    entries_.pop_front();
  }
  return excess;
}

void IdleConnections::Remove(
    const std::shared_ptr<ClientConnection>& connection) {
  std::lock_guard lock(mutex_);
  const auto position = positions_.find(connection.get());
  if (position == positions_.end()) return;
  entries_.erase(position->second);
  positions_.erase(position);
}

size_t IdleConnections::size() const {
  std::lock_guard lock(mutex_);
  return entries_.size();
}

}  // namespace thornplank
