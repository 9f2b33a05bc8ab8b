// Appending, withdrawing and completing of changes.
#include "admin/change_writer.h"

#include <cstdio>
#include <optional>
#include <random>
#include <utility>

#include "logging/events/settings_events.h"

namespace thornplank {
namespace {

std::string MakeIdPrefix(const std::string& instance) {
  std::random_device device;
  char nonce[24];
  std::snprintf(nonce, sizeof(nonce), "%08x%08x", device(), device());
  return instance + "-" + nonce + "-";
}

}  // namespace

ChangeWriter::ChangeWriter(boost::asio::io_context& io, LogClient& log,
                           const SettingsManagerOptions& options)
    : options_(options),
      id_prefix_(MakeIdPrefix(options.instance)),
      writer_(std::make_shared<StreamWriter>(io, log, options.stream,
                                             options.writer)) {}

std::shared_ptr<StreamWriter> ChangeWriter::writer() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return writer_;
}

void ChangeWriter::Stop() {
  std::shared_ptr<StreamWriter> stopped_writer;
  const std::lock_guard<std::mutex> lock(mutex_);
  stopped_writer.swap(writer_);
}

std::string ChangeWriter::NextId(const char* kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return id_prefix_ + kind + std::to_string(next_number_++);
}

void ChangeWriter::Append(const SettingsChange& change, Callback callback) {
  const Time now = std::chrono::steady_clock::now();
  const Time deadline = now + options_.append_timeout;
  const std::string id = NextId("change-");
  const std::shared_ptr<StreamWriter> writer = this->writer();
  if (!writer) {
    callback(AppendOutcome::kNotAppended, ChangeResult());
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    pending_[id] = {std::move(callback), change.author,
                    deadline + options_.verdict_timeout};
  }
  writer->Append(
      id, ToJson(change), deadline,
      [weak = weak_from_this(), id](AppendState state, int64_t, const Error&) {
        if (const auto self = weak.lock()) {
          self->OnAppended(id, state);
        }
      });
}

void ChangeWriter::AppendSnapshot(Json data, StreamWriter::Callback callback) {
  const std::shared_ptr<StreamWriter> writer = this->writer();
  if (!writer) {
    callback(AppendState::kNotAppended, -1, Error{"append", "", "stopped"});
    return;
  }
  const Time now = std::chrono::steady_clock::now();
  writer->Append(NextId("snapshot-"), std::move(data),
                 now + options_.append_timeout, std::move(callback));
}

void ChangeWriter::OnAppended(const std::string& id, AppendState state) {
  // The callback runs when the record is applied.
  if (state == AppendState::kAppended) return;
  Callback not_appended;
  std::string author;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = pending_.find(id);
    if (it == pending_.end()) return;
    author = it->second.author;
    if (state == AppendState::kNotAppended) {
      not_appended = std::move(it->second.callback);
      pending_.erase(it);
    }
  }
  if (not_appended) {
    not_appended(AppendOutcome::kNotAppended, ChangeResult());
    return;
  }
  Withdraw(id, author);
}

void ChangeWriter::Withdraw(const std::string& id, const std::string& author) {
  const std::shared_ptr<StreamWriter> writer = this->writer();
  if (!writer) return;
  const Time now = std::chrono::steady_clock::now();
  writer->Append(id, WithdrawalData(author), now + options_.withdraw_timeout,
                 [](AppendState, int64_t, const Error&) {});
}

ChangeWriter::DueCallbacks ChangeWriter::TakeDecided(
    const SettingsState& state) {
  DueCallbacks callbacks;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = pending_.begin(); it != pending_.end();) {
    const std::optional<ChangeResult> result = state.FindDecision(it->first);
    if (!result) {
      ++it;
      continue;
    }
    callbacks.push_back(
        [callback = std::move(it->second.callback), result = *result] {
          callback(AppendOutcome::kDecided, result);
        });
    it = pending_.erase(it);
  }
  return callbacks;
}

ChangeWriter::DueCallbacks ChangeWriter::TakeExpired(Time now) {
  DueCallbacks callbacks;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    LogEvent(events::kSettingsWriteUndecided,
             {{"id", it->first}, {"by", it->second.author}});
    callbacks.push_back([callback = std::move(it->second.callback)] {
      callback(AppendOutcome::kUndecided, ChangeResult());
    });
    it = pending_.erase(it);
  }
  return callbacks;
}

}  // namespace thornplank
