// The idle connections of one client to all of its peers, in the order of their
// last use.
//
// A client of thousands of peers would otherwise keep a connection to each of
// them, and their number, not that of the requests, would decide how many
// descriptors and how much memory it takes. Thread-safe.
#ifndef THORNPLANK_NET_IDLE_CONNECTIONS_H_
#define THORNPLANK_NET_IDLE_CONNECTIONS_H_

#include <cstddef>
#include <list>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace thornplank {

class ClientConnection;
class ClientPool;

class IdleConnections {
 public:
  struct Entry {
    std::weak_ptr<ClientPool> pool;
    std::shared_ptr<ClientConnection> connection;
  };

  // `limit`: 0 for none.
  explicit IdleConnections(size_t limit) : limit_(limit) {}

  // A connection has become idle. Returns those that are to be closed, the
  // least recently used ones; they are no longer counted.
  std::vector<Entry> Add(std::weak_ptr<ClientPool> pool,
                         std::shared_ptr<ClientConnection> connection);
  // The connection is in use or closed. Does nothing if it was not added.
  void Remove(const std::shared_ptr<ClientConnection>& connection);
  size_t size() const;

 private:
  const size_t limit_;
  mutable std::mutex mutex_;
  // Guarded by mutex_. The least recently used one first; `positions_` has an
  // element for each.
  std::list<Entry> entries_;
  std::unordered_map<const ClientConnection*, std::list<Entry>::iterator>
      positions_;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_IDLE_CONNECTIONS_H_
