// Appends changes to the settings stream and reports the decision on each.
//
// A change whose append is confirmed is decided when its record is applied. An
// unconfirmed change is withdrawn under the same id, and the first of the two
// records in the stream takes effect.
#ifndef THORNPLANK_ADMIN_CHANGE_WRITER_H_
#define THORNPLANK_ADMIN_CHANGE_WRITER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "admin/settings_manager.h"
#include "settings/settings_change.h"
#include "settings/settings_state.h"

namespace thornplank {

enum class AppendOutcome {
  // The record was applied; the result holds the verdict.
  kDecided,
  // The record never left this process.
  kNotAppended,
  // No decision came in time. If the append was not confirmed, its withdrawal
  // continues in the background.
  kUndecided,
};

class ChangeWriter : public std::enable_shared_from_this<ChangeWriter> {
 public:
  using Callback = std::function<void(AppendOutcome, const ChangeResult&)>;
  // Callbacks that are due; the caller runs them without a lock held.
  using DueCallbacks = std::vector<std::function<void()>>;

  ChangeWriter(boost::asio::io_context& io, LogClient& log,
               const SettingsManagerOptions& options);

  // `callback` runs once, on any thread.
  void Append(const SettingsChange& change, Callback callback);
  // Appends a snapshot. `callback` reports the append, not its application.
  void AppendSnapshot(Json data, StreamWriter::Callback callback);

  // Stops appending. Changes that are still pending remain for TakeExpired.
  void Stop();

  // Removes the pending changes on which `state` has a decision.
  DueCallbacks TakeDecided(const SettingsState& state);
  // Removes the pending changes whose deadline has passed.
  DueCallbacks TakeExpired(Time now);

 private:
  struct Pending {
    Callback callback;
    std::string author;
    // When the caller is told that the outcome is unknown.
    Time deadline;
  };

  std::shared_ptr<StreamWriter> writer() const;
  std::string NextId(const char* kind);
  void OnAppended(const std::string& id, AppendState state);
  void Withdraw(const std::string& id, const std::string& author);

  const SettingsManagerOptions options_;
  // Unique to this process, so that record ids are never reused.
  const std::string id_prefix_;

  mutable std::mutex mutex_;
  // Null after Stop.
  std::shared_ptr<StreamWriter> writer_;
  uint64_t next_number_ = 0;
  // By record id.
  std::map<std::string, Pending> pending_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ADMIN_CHANGE_WRITER_H_
