// Calls that wait for a reply, each with its timeout.
#ifndef THORNPLANK_PROTOCOL_PENDING_CALLS_H_
#define THORNPLANK_PROTOCOL_PENDING_CALLS_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/error.h"
#include "base/json.h"
#include "base/time.h"

namespace thornplank {

// Each callback runs once, on a thread of the io_context, outside of the lock.
class PendingCalls : public std::enable_shared_from_this<PendingCalls> {
 public:
  using Callback =
      std::function<void(std::optional<Json> body, const Error& error)>;

  explicit PendingCalls(boost::asio::io_context& io) : io_(io) {}

  // The correlation id for a new call, never 0.
  uint64_t NextCorrelation() { return ++last_correlation_; }
  void Add(uint64_t correlation, uint64_t link, const std::string& peer,
           const std::string& type, Duration timeout, Callback callback);
  // False when no call with this id waits on this link: the reply is late, or
  // not meant for us.
  bool Resolve(uint64_t link, uint64_t correlation, std::optional<Json> body,
               const std::string& reason);
  // Fails one call, all those of a link, or all.
  void Fail(uint64_t correlation, const std::string& reason);
  void FailLink(uint64_t link, const std::string& reason);
  void FailAll(const std::string& reason);
  // Runs `callback` with an error, as if the call had been pending.
  void Reject(const std::string& peer, const std::string& type,
              const std::string& reason, Callback callback);

 private:
  struct Call {
    uint64_t link = 0;
    std::string peer;
    std::string type;
    Callback callback;
    std::unique_ptr<boost::asio::steady_timer> timeout;
  };

  std::optional<Call> Take(uint64_t correlation);
  void PostFailure(Call call, const std::string& reason);

  boost::asio::io_context& io_;
  std::atomic<uint64_t> last_correlation_{0};
  // Guards the members below; no callback runs with it held.
  std::mutex mutex_;
  std::unordered_map<uint64_t, Call> calls_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_PENDING_CALLS_H_
