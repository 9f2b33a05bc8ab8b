// Rounds of introductions, and reads of the roster between them.
#include "replicas/replica_finder.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cmath>
#include <utility>

#include "coordination/job_board.h"

namespace thornplank {
namespace {

Time Now() { return std::chrono::steady_clock::now(); }

// Spreads the introductions of entries that started together.
constexpr double kIntervalJitter = 0.2;
constexpr double kRetryJitter = 0.25;

Milliseconds Jittered(Milliseconds delay, double jitter,
                      std::minstd_rand* random) {
  std::uniform_real_distribution<double> factor(1 - jitter, 1 + jitter);
  return Milliseconds(static_cast<int64_t>(
      std::lround(static_cast<double>(delay.count()) * factor(*random))));
}

}  // namespace

ReplicaFinder::ReplicaFinder(boost::asio::io_context& io, RecordStore& store,
                             EntryCalls& calls, const EntryRole& role,
                             ReplicaSelector& selector,
                             ReplicaFinderSettings settings, Handlers handlers)
    : store_(store),
      calls_(calls),
      role_(role),
      selector_(selector),
      settings_(std::move(settings)),
      handlers_(std::move(handlers)),
      timer_(io),
      random_(settings_.seed) {}

ReplicaFinder::~ReplicaFinder() { *alive_ = false; }

void ReplicaFinder::Start() { ReadRoster(); }

void ReplicaFinder::Hurry() {
  if (!busy_) BeginRound();
}

void ReplicaFinder::ReadRoster() {
  busy_ = true;
  store_.ReadNewest(settings_.board, JobBoard::RosterKeyPrefix(),
                    settings_.store_timeout,
                    [this, alive = alive_](const NewestPage& page) {
                      if (*alive) OnRosterPage(page);
                    });
}

void ReplicaFinder::OnRosterPage(const NewestPage& page) {
  store_unreachable_ = !page.ok;
  if (!page.ok) {
    return selector_.empty() ? RetryLater() : BeginRound();
  }
  bool found = false;
  for (const KeyedRecord& record : page.records) {
    const auto roster = JobBoard::ParseRoster(record);
    if (!roster) continue;
    found = true;
    handlers_.on_roster(*roster);
  }
  if (found) return BeginRound();
  handlers_.on_no_roster();
  RunAfter(Jittered(settings_.no_roster_delay, kRetryJitter, &random_),
           [this] { ReadRoster(); });
}

void ReplicaFinder::BeginRound() {
  // A replica hears of changes from the board.
  if (role_.listed() || selector_.empty()) {
    busy_ = false;
    return RunAfter(settings_.interval, [this] { Hurry(); });
  }
  busy_ = true;
  to_ask_ = selector_.Order(ReplicaPreference::kNearest, Now());
  if (silent_ && to_ask_.size() > settings_.replicas_per_retry) {
    to_ask_.resize(settings_.replicas_per_retry);
  }
  std::reverse(to_ask_.begin(), to_ask_.end());
  AskNext();
}

void ReplicaFinder::AskNext() {
  if (to_ask_.empty()) {
    silent_ = true;
    handlers_.on_silent();
    return RetryLater();
  }
  const std::string address = std::move(to_ask_.back());
  to_ask_.pop_back();
  EntryIntroduction introduction;
  introduction.entry = settings_.entry;
  introduction.rank = settings_.rank;
  if (role_.roster()) {
    introduction.roster_epoch = role_.roster()->epoch;
    introduction.roster_number = role_.roster()->number;
  }
  calls_.Introduce(address, introduction, settings_.answer_timeout,
                   [this, alive = alive_, address, sent = Now()](
                       const std::optional<IntroductionAnswer>& answer) {
                     if (*alive) OnAnswer(address, sent, answer);
                   });
}

void ReplicaFinder::OnAnswer(const std::string& address, Time sent,
                             const std::optional<IntroductionAnswer>& answer) {
  if (!answer) {
    selector_.OnFailure(address, Now());
    return AskNext();
  }
  busy_ = false;
  silent_ = false;
  retry_delay_ = Milliseconds(0);
  selector_.OnAnswer(address, Now() - sent);
  handlers_.on_answered();
  if (answer->roster) handlers_.on_roster(*answer->roster);
  RunAfter(Jittered(settings_.interval, kIntervalJitter, &random_),
           [this] { Hurry(); });
}

void ReplicaFinder::RetryLater() {
  const Time now = Now();
  if (next_roster_read_ <= now) next_roster_read_ = now + NextRetryDelay();
  const Milliseconds delay =
      Jittered(settings_.round_delay, kRetryJitter, &random_);
  if (selector_.empty() || next_roster_read_ <= now + delay) {
    const auto until_read =
        std::chrono::duration_cast<Milliseconds>(next_roster_read_ - now);
    return RunAfter(until_read, [this] { ReadRoster(); });
  }
  RunAfter(delay, [this] { BeginRound(); });
}

Milliseconds ReplicaFinder::NextRetryDelay() {
  const int64_t entries = role_.roster() ? role_.roster()->entries : 0;
  const auto by_size = std::chrono::duration_cast<Milliseconds>(
      settings_.longest_delay_per_entry * entries);
  const Milliseconds longest = std::max(settings_.min_longest_delay, by_size);
  retry_delay_ =
      std::clamp(retry_delay_ * 2, settings_.initial_retry_delay, longest);
  return Jittered(retry_delay_, kRetryJitter, &random_);
}

void ReplicaFinder::RunAfter(Milliseconds delay, std::function<void()> action) {
  timer_.expires_after(delay);
  timer_.async_wait([alive = alive_, action = std::move(action)](
                        const boost::system::error_code& code) {
    if (!code && *alive) action();
  });
}

}  // namespace thornplank
