// Matching of replies with calls.
#include "protocol/pending_calls.h"

#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

namespace thornplank {
namespace {

Error CallError(const std::string& peer, const std::string& type,
                const std::string& reason) {
  return Error{"call " + type, peer, reason};
}

}  // namespace

void PendingCalls::Add(uint64_t correlation_id, uint64_t link,
                       const std::string& peer, const std::string& type,
                       Duration timeout, Callback callback) {
  Call call{link, peer, type, std::move(callback),
            std::make_unique<boost::asio::steady_timer>(io_, timeout)};
  const std::lock_guard lock(mutex_);
  call.timer->async_wait([self = shared_from_this(),
                          correlation_id](const boost::system::error_code& ec) {
    if (!ec) self->Fail(correlation_id, "timed out");
  });
  calls_.emplace(correlation_id, std::move(call));
}

bool PendingCalls::Resolve(uint64_t link, uint64_t correlation_id,
                           std::optional<Json> body,
                           const std::string& reason) {
  std::unique_lock lock(mutex_);
  const auto found = calls_.find(correlation_id);
  if (found == calls_.end() || found->second.link != link) return false;
  const Call call = std::move(found->second);
  calls_.erase(found);
  lock.unlock();
  Error error;
  if (!body) error = CallError(call.peer, call.type, reason);
  call.callback(std::move(body), error);
  return true;
}

void PendingCalls::Fail(uint64_t correlation_id, const std::string& reason) {
  std::optional<Call> call = Take(correlation_id);
  if (call) PostFailure(std::move(*call), reason);
}

void PendingCalls::FailLink(uint64_t link, const std::string& reason) {
  std::vector<Call> failed;
  {
    const std::lock_guard lock(mutex_);
    for (auto it = calls_.begin(); it != calls_.end();) {
      if (it->second.link != link) {
        ++it;
        continue;
      }
      failed.push_back(std::move(it->second));
      it = calls_.erase(it);
    }
  }
  for (Call& call : failed) PostFailure(std::move(call), reason);
}

void PendingCalls::FailAll(const std::string& reason) {
  std::unordered_map<uint64_t, Call> failed;
  {
    const std::lock_guard lock(mutex_);
    failed.swap(calls_);
  }
  for (auto& [correlation_id, call] : failed) {
    PostFailure(std::move(call), reason);
  }
}

void PendingCalls::Reject(const std::string& peer, const std::string& type,
                          const std::string& reason, Callback callback) {
  PostFailure(Call{0, peer, type, std::move(callback), nullptr}, reason);
}

std::optional<PendingCalls::Call> PendingCalls::Take(uint64_t correlation_id) {
  const std::lock_guard lock(mutex_);
  const auto found = calls_.find(correlation_id);
  if (found == calls_.end()) return std::nullopt;
  std::optional<Call> call = std::move(found->second);
  calls_.erase(found);
  return call;
}

void PendingCalls::PostFailure(Call call, const std::string& reason) {
  boost::asio::post(
      io_, [callback = std::move(call.callback),
            error = CallError(call.peer, call.type, reason)]() mutable {
        callback(std::nullopt, error);
      });
}

}  // namespace thornplank
