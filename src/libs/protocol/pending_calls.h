// Calls that wait for a reply, each with a timeout. Thread-safe.
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

// Each callback runs once, on a thread of the io_context, without a lock held.
class PendingCalls : public std::enable_shared_from_this<PendingCalls> {
 public:
  using Callback =
      std::function<void(std::optional<Json> body, const Error& error)>;

  explicit PendingCalls(boost::asio::io_context& io) : io_(io) {}

  // A new correlation id, never 0.
  uint64_t NextCorrelationId() { return ++last_correlation_id_; }
  void Add(uint64_t correlation_id, uint64_t link, const std::string& peer,
           const std::string& type, Duration timeout, Callback callback);
  // Ends a call with the body of its reply or, if `body` is nullopt, with an
  // error for `reason`. Returns false if no call with this id waits on this
  // link: the reply is late or was not meant for this entry.
  bool Resolve(uint64_t link, uint64_t correlation_id, std::optional<Json> body,
               const std::string& reason);
  // Fail one call, all calls on a link, or all calls.
  void Fail(uint64_t correlation_id, const std::string& reason);
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
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  std::optional<Call> Take(uint64_t correlation_id);
  void PostFailure(Call call, const std::string& reason);

  boost::asio::io_context& io_;
  std::atomic<uint64_t> last_correlation_id_{0};
  // Guards the members below. No callback runs while it is held.
  std::mutex mutex_;
  std::unordered_map<uint64_t, Call> calls_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_PENDING_CALLS_H_
