// Keeps records until a fleet is attached, and passes later ones on.
#include "coordination/worker_directory.h"

#include <iterator>
#include <utility>

namespace thornplank {
namespace {

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

WorkerDirectory::WorkerDirectory(boost::asio::io_context& io,
                                 RecordStore& store,
                                 RecordTailSettings settings)
    : tail_(io, store, std::move(settings), MakeHandlers()) {
  tail_.Start();
}

RecordTail::Handlers WorkerDirectory::MakeHandlers() {
  RecordTail::Handlers handlers;
  handlers.on_record = [this](const KeyedRecord& record) { OnRecord(record); };
  handlers.on_snapshot = [this](const std::set<std::string>& ids) {
    OnSnapshot(ids);
  };
  handlers.on_caught_up = [this] { OnCaughtUp(); };
  handlers.on_failure = [this](const Error& error) {
    if (!tail_.has_snapshot()) lost_at_first_ = true;
    reachability_.OnReadFailed(error);
  };
  return handlers;
}

void WorkerDirectory::Attach(WorkerFleet* fleet) {
  fleet_ = fleet;
  const Time now = Now();
  std::set<std::string> ids;
  for (const auto& [id, record] : std::exchange(kept_, {})) {
    fleet_->OnDirectoryRecord(record, now);
    ids.insert(id);
  }
  if (tail_.has_snapshot()) fleet_->OnDirectorySnapshot(ids, now);
  if (caught_up_at_) {
    fleet_->OnDirectoryCaughtUp(*caught_up_at_, lost_at_first_);
  }
}

void WorkerDirectory::OnRecord(const KeyedRecord& record) {
  if (fleet_ != nullptr) return fleet_->OnDirectoryRecord(record, Now());
  if (record.value) {
    kept_[record.key] = record;
  } else {
    kept_.erase(record.key);
  }
}

void WorkerDirectory::OnSnapshot(const std::set<std::string>& ids) {
  if (fleet_ != nullptr) return fleet_->OnDirectorySnapshot(ids, Now());
  for (auto it = kept_.begin(); it != kept_.end();) {
    it = ids.count(it->first) > 0 ? std::next(it) : kept_.erase(it);
  }
}

void WorkerDirectory::OnCaughtUp() {
  reachability_.OnReadSucceeded(tail_.next_offset());
  if (fleet_ != nullptr) {
    return fleet_->OnDirectoryCaughtUp(Now(), lost_at_first_);
  }
  caught_up_at_ = Now();
}

}  // namespace thornplank
