// Property test of ClaimTable with several entries on one claim stream and
// random schedules: records arrive late, twice or never, holders are paused or
// restarted while their old incarnation still runs, and the log drops old
// records. In every schedule the request of a key is sent at most once, and the
// request of a claim that was reported as "not run" is sent neither before nor
// after the report.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "claims/claim_table.h"

namespace thornplank {
namespace {

using std::chrono::seconds;

constexpr int kHistories = 4000;
constexpr int kStepsPerHistory = 250;
constexpr size_t kMaxEntries = 5;
constexpr int kMaxSkewSeconds = 14;
// Short compared with the duration of a history, so that keys expire within it.
constexpr auto kWindow = std::chrono::minutes(2);
const WallTime kStart = FromUnixMilliseconds(1700000000000);

enum class Phase { kPending, kWon, kSent, kOver };

struct Attempt {
  std::string claim_id;
  std::string key;
  Phase phase = Phase::kPending;
  bool sent = false;
  bool reported_not_run = false;
};

// One incarnation of one entry. An old incarnation keeps running beside the one
// that replaced it.
struct Entry {
  ClaimHolder self;
  ClaimTable table;
  Duration skew;
  size_t next_offset = 0;
  std::vector<Attempt> attempts;
};

struct StoredRecord {
  ClaimRecord record;
  WallTime time;
};

class History {
 public:
  explicit History(uint32_t seed) : random_(seed) {
    AddEntry("a");
    AddEntry("b");
  }

  void Run() {
    for (int step = 0; step < kStepsPerHistory; ++step) Step();
  }

  const std::map<std::string, int>& sends() const { return sends_; }
  bool sent_despite_not_run() const { return sent_despite_not_run_; }

 private:
  int RandomBelow(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }
  Entry& PickEntry() { return *entries_[RandomBelow(entries_.size())]; }

  void AddEntry(const std::string& name) {
    ClaimTableSettings settings;
    settings.self = {name, std::to_string(++incarnations_)};
    settings.window = kWindow;
    auto entry = std::make_unique<Entry>(
        Entry{settings.self,
              ClaimTable(settings),
              seconds(RandomBelow(2 * kMaxSkewSeconds + 1) - kMaxSkewSeconds),
              0,
              {}});
    entries_.push_back(std::move(entry));
  }

  void Step() {
    const int action = RandomBelow(100);
    if (action < 18) return Begin();
    if (action < 36) return Deliver();
    if (action < 66) return ApplyRecords();
    if (action < 72) return Abandon();
    if (action < 84) return Send();
    if (action < 92) return End();
    if (action < 96) {
      log_time_ += seconds(RandomBelow(RandomBelow(3) == 0 ? 300 : 10));
      return;
    }
    if (action < 98) {
      if (entries_.size() < kMaxEntries) AddEntry(RandomBelow(2) ? "a" : "b");
      return;
    }
    // Retention: the log drops some of its oldest records.
    first_retained_ += RandomBelow(log_.size() - first_retained_ + 1) / 2;
  }

  // Adds a key with a random clock skew of its caller.
  void MakeKey() {
    const std::string key = "key-" + std::to_string(key_times_.size());
    key_times_[key] = log_time_ + seconds(RandomBelow(2 * kMaxSkewSeconds + 1) -
                                          kMaxSkewSeconds);
  }

  void Begin() {
    if (key_times_.empty() || RandomBelow(8) == 0) MakeKey();
    auto key = key_times_.begin();
    std::advance(key, RandomBelow(key_times_.size()));
    Entry& entry = PickEntry();
    ClaimRequest request;
    request.claim_id = entry.self.entry + entry.self.incarnation + "-" +
                       std::to_string(++claims_);
    request.key = key->first;
    request.key_time = key->second;
    const ClaimDecision decision =
        entry.table.BeginClaim(request, log_time_ + entry.skew, true);
    if (decision.kind != ClaimDecisionKind::kAppend) return;
    entry.attempts.push_back({request.claim_id, request.key});
    in_transit_.push_back(decision.record);
  }

  void Deliver() {
    if (in_transit_.empty()) return;
    const int index = RandomBelow(in_transit_.size());
    log_.push_back({in_transit_[index], log_time_});
    // Otherwise the record was sent twice and the other copy is still in
    // transit.
    if (RandomBelow(4) != 0) in_transit_.erase(in_transit_.begin() + index);
  }

  void ApplyRecords() {
    Entry& entry = PickEntry();
    for (int count = RandomBelow(6); count >= 0; --count) {
      if (entry.next_offset < first_retained_) {
        entry.table.HandleGap(log_time_ + entry.skew);
        entry.next_offset = first_retained_;
      }
      if (entry.next_offset == log_.size()) {
        entry.table.MarkCaughtUp();
        return;
      }
      const StoredRecord& stored = log_[entry.next_offset++];
      const auto event = entry.table.Apply(stored.record, stored.time);
      if (!event) continue;
      if (event->release) in_transit_.push_back(*event->release);
      for (auto& attempt : entry.attempts) {
        if (attempt.claim_id != event->claim_id) continue;
        const bool won = event->kind == ClaimEventKind::kWon;
        attempt.phase = won ? Phase::kWon : Phase::kOver;
      }
    }
  }

  template <typename Predicate>
  struct Attempt* PickAttempt(Entry* entry, Predicate predicate) {
    std::vector<struct Attempt*> found;
    for (auto& attempt : entry->attempts) {
      if (predicate(attempt)) found.push_back(&attempt);
    }
    return found.empty() ? nullptr : found[RandomBelow(found.size())];
  }

  // The deadline passes, or the request is known not to have been sent.
  void Abandon() {
    Entry& entry = PickEntry();
    struct Attempt* attempt =
        PickAttempt(&entry, [](const struct Attempt& candidate) {
          return candidate.phase == Phase::kPending ||
                 candidate.phase == Phase::kWon;
        });
    if (attempt == nullptr) return;
    if (const auto release = entry.table.Release(attempt->claim_id)) {
      in_transit_.push_back(*release);
    }
    attempt->reported_not_run = true;
  }

  // Any number of steps may lie between winning the claim and the send, as for
  // a paused holder. Abandoned attempts try to send as well, as a paused thread
  // would.
  void Send() {
    Entry& entry = PickEntry();
    struct Attempt* attempt = PickAttempt(
        &entry,
        [](const struct Attempt& candidate) { return !candidate.sent; });
    if (attempt == nullptr || !entry.table.MaySend(attempt->claim_id)) return;
    attempt->sent = true;
    attempt->phase = Phase::kSent;
    ++sends_[attempt->key];
    if (attempt->reported_not_run) sent_despite_not_run_ = true;
  }

  void End() {
    Entry& entry = PickEntry();
    struct Attempt* attempt =
        PickAttempt(&entry, [](const struct Attempt& candidate) {
          return candidate.phase == Phase::kSent;
        });
    if (attempt == nullptr) return;
    attempt->phase = Phase::kOver;
    if (RandomBelow(3) == 0) {
      entry.table.FinishUnknown(attempt->claim_id);
    } else if (const auto done = entry.table.Finish(attempt->claim_id, 200)) {
      in_transit_.push_back(*done);
    }
  }

  std::mt19937 random_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<StoredRecord> log_;
  size_t first_retained_ = 0;
  WallTime log_time_ = kStart;
  // Records being appended; a record may reach the log more than once.
  std::vector<ClaimRecord> in_transit_;
  std::map<std::string, WallTime> key_times_;
  std::map<std::string, int> sends_;
  bool sent_despite_not_run_ = false;
  int incarnations_ = 0;
  int claims_ = 0;
};

TEST_CASE("a key's request is sent at most once, and never after \"not run\"") {
  int sent_keys = 0;
  for (int seed = 0; seed < kHistories; ++seed) {
    History history(seed);
    history.Run();
    CAPTURE(seed);
    for (const auto& sent : history.sends()) {
      const std::string& key = sent.first;
      CAPTURE(key);
      REQUIRE(sent.second == 1);
      ++sent_keys;
    }
    REQUIRE_FALSE(history.sent_despite_not_run());
  }
  MESSAGE("histories " << kHistories << ", keys sent " << sent_keys);
  // Guards against a table that satisfies the property by sending nothing.
  CHECK(sent_keys > kHistories);
}

}  // namespace
}  // namespace thornplank
