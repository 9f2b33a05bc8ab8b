// The periodic round of the leader over replicas and candidates.
#include "replicas/replica_manager.h"

#include <boost/asio/io_context.hpp>
#include <utility>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

ReplicaManager::ReplicaManager(boost::asio::io_context& io, EntryCalls& calls,
                               ReplicaManagerSettings settings,
                               Dependencies dependencies)
    : calls_(calls),
      settings_(std::move(settings)),
      dependencies_(std::move(dependencies)),
      appointer_(settings_.appointer, settings_.own),
      timer_(io) {}

ReplicaManager::~ReplicaManager() { *alive_ = false; }

void ReplicaManager::Start() { OnTick(); }

void ReplicaManager::OnTick() {
  const int64_t epoch = dependencies_.leading_epoch();
  // Without an address no other entry can reach this one.
  if (epoch > 0 && !settings_.own.address.empty()) {
    const Time now = Now();
    if (!written_ || written_->epoch != epoch) WriteFirst(epoch, now);
    if (now - last_question_ >= settings_.interval) {
      last_question_ = now;
      WriteIfChanged(now);
      AskEntries(now);
    }
  }
  timer_.expires_after(settings_.tick_interval);
  timer_.async_wait(
      [this, alive = alive_](const boost::system::error_code& code) {
        if (!code && *alive) OnTick();
      });
}

// The question carries the roster, so that an entry hears soon of its
// appointment and of a new leader.
void ReplicaManager::AskEntries(Time now) {
  const std::optional<ReplicaRoster>& current = dependencies_.board->roster();
  const ReplicaAppointer::Entries& entries = dependencies_.board->entries();
  for (const std::string& name :
       appointer_.EntriesToAsk(entries, current, now)) {
    const auto entry = entries.find(name);
    std::string address;
    if (entry != entries.end()) {
      address = entry->second.address;
    } else if (current) {
      const auto position = current->PositionOf(name);
      if (position) address = current->replicas[*position].address;
    }
    if (address.empty()) continue;
    calls_.TellRoster(address, current.value_or(ReplicaRoster()),
                      settings_.answer_timeout,
                      [this, alive = alive_, name](bool answered) {
                        if (!*alive) return;
                        if (answered) return appointer_.OnAnswer(name, Now());
                        appointer_.OnNoAnswer(name, Now());
                      });
  }
}

ReplicaRoster ReplicaManager::NextRoster(Time now) const {
  const ReplicaAppointer::Entries& entries = dependencies_.board->entries();
  ReplicaRoster next;
  next.replicas =
      appointer_.Decide(entries, dependencies_.board->roster(), now);
  next.entries = static_cast<int64_t>(entries.size());
  return next;
}

void ReplicaManager::WriteFirst(int64_t epoch, Time now) {
  ReplicaRoster next = NextRoster(now);
  next.epoch = epoch;
  next.number = 1;
  Write(next, now);
}

void ReplicaManager::WriteIfChanged(Time now) {
  if (now - last_write_ < settings_.min_write_interval) return;
  ReplicaRoster next = NextRoster(now);
  next.epoch = written_->epoch;
  next.number = written_->number + 1;
  // Entries decide by the number of entries how long they wait before they
  // replace silent replicas; its order of magnitude is enough.
  const bool size_changed = next.entries > written_->entries * 5 / 4 ||
                            next.entries < written_->entries * 3 / 4;
  if (next.replicas != written_->replicas || size_changed) Write(next, now);
}

void ReplicaManager::Write(const ReplicaRoster& roster, Time now) {
  written_ = roster;
  last_write_ = now;
  std::vector<std::string> names;
  for (const ReplicaAddress& replica : roster.replicas) {
    names.push_back(replica.name);
  }
  LogEvent(events::kRosterWritten, {{"epoch", roster.epoch},
                                    {"number", roster.number},
                                    {"entries", roster.entries},
                                    {"replicas", names}});
  dependencies_.write(JobBoard::Roster(roster));
}

}  // namespace thornplank
