// Appends changes to the stream of settings and finds out what became of each.
//
// A confirmed append still has to be folded; an unconfirmed one is withdrawn
// under the same id, and the order of the two in the stream decides.
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
#include "settings/settings_replica.h"

namespace thornplank {

enum class AppendOutcome {
  // Folded; the result holds the verdict.
  kDecided,
  // It never left this process.
  kNotAppended,
  // The log did not answer in time; a withdrawal goes on in the background.
  kUndecided,
};

class ChangeWriter : public std::enable_shared_from_this<ChangeWriter> {
 public:
  using Done = std::function<void(AppendOutcome, const ChangeResult&)>;
  // Calls that are due; run them without a lock held.
  using Calls = std::vector<std::function<void()>>;

  ChangeWriter(boost::asio::io_context& io, LogClient& log,
               const SettingsManagerOptions& options);

  // `done` runs once, on any thread.
  void Append(const SettingsChange& change, Done done);
  // Appends a record that nobody waits for, such as a snapshot.
  void AppendSnapshot(Json data, StreamWriter::Callback done);

  // Appends nothing any more; what is still pending is left to TakeExpired.
  void Stop();

  // Takes out every change on which `fold` has a verdict.
  Calls TakeDecided(const SettingsReplica& replica);
  // Takes out every change that has waited too long.
  Calls TakeExpired(Time now);

 private:
  struct Pending {
    Done done;
    std::string by;
    // When the caller is told that the outcome is not known.
    Time give_up;
  };

  std::shared_ptr<StreamWriter> writer() const;
  std::string NextId(const char* kind);
  void OnAppended(const std::string& id, AppendState state);
  void Withdraw(const std::string& id, const std::string& by);

  const SettingsManagerOptions options_;
  // Differs from process to process, so that ids never return.
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
