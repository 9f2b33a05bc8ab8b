// A RecordStore for tests that keeps its records in a UsersStoreModel, and can
// fail.
#ifndef THORNPLANK_TESTS_AUTO_COORDINATION_STORE_FIXTURE_H_
#define THORNPLANK_TESTS_AUTO_COORDINATION_STORE_FIXTURE_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/record_store.h"
#include "standins/users_store_model.h"

namespace thornplank::testing {

inline constexpr char kBoardStream[] = "keyed.thornplank";
inline const Partition kBoardPartition{kBoardStream, 0};

// How an append fails.
enum class AppendFault { kNone, kRefused, kLostAnswer, kNotStored };

class FakeRecordStore : public RecordStore {
 public:
  explicit FakeRecordStore(boost::asio::io_context& io) : io_(io) {}

  void Append(const AppendRequest& request, Milliseconds timeout,
              std::function<void(const AppendResult&)> done) override {
    if (IsLate(request)) return Delay(request, timeout, std::move(done));
    if (latency.count() == 0) return CarryOut(request, done);
    most_in_flight = std::max(most_in_flight, ++in_flight_);
    RunLater(latency, [this, request, done] {
      --in_flight_;
      CarryOut(request, done);
    });
  }

  void CarryOut(const AppendRequest& request,
                const std::function<void(const AppendResult&)>& done) {
    ++appends;
    if (before_append) before_append();
    AppendFault fault = AppendFault::kNone;
    if (!faults.empty()) {
      fault = faults.front();
      faults.erase(faults.begin());
    }
    AppendResult result;
    const bool refused = IsRefused(request) || IsUnavailable(request.partition);
    if (refused) fault = AppendFault::kRefused;
    if (fault == AppendFault::kRefused) {
      result.outcome = StoreOutcome::kRefused;
    } else if (fault != AppendFault::kNotStored) {
      result = model.Append(request);
      if (result.outcome == StoreOutcome::kRejected) {
        result.error = {"append", "store", "status 413"};
        OnRejected(request);
      }
    }
    if (fault == AppendFault::kLostAnswer) {
      result.outcome = StoreOutcome::kUnknown;
    }
    boost::asio::post(io_, [done, result] { done(result); });
  }

  // The appends with a record of `late_key`. Those that have not timed out are
  // answered.
  void CarryOutLateAppends() {
    for (const auto& append : std::exchange(late_appends_, {})) {
      const AppendResult result = model.Append(append->request);
      boost::asio::post(io_, [append, result] { Answer(append, result); });
    }
  }

  void Read(const Partition& partition, int64_t from, Milliseconds wait,
            Milliseconds,
            std::function<void(const ReadResult&)> done) override {
    ++reads;
    if (wait.count() == 0) ++immediate_reads;
    if (!reachable || partition.stream == unreadable_stream) {
      return RunLater(fails_at_once ? Milliseconds(1) : wait,
                      [done] { done(ReadResult()); });
    }
    const bool silent = long_polls_hang && wait.count() > 0;
    if (!silent && (model.end(partition) > from || wait.count() == 0)) {
      const auto slow = slow_streams.find(partition.stream);
      const Milliseconds delay =
          slow == slow_streams.end() ? read_latency : slow->second;
      if (delay.count() > 0) {
        return RunLater(delay, [this, partition, from, done] {
          done(model.Read(partition, from));
        });
      }
      const ReadResult result = model.Read(partition, from);
      return boost::asio::post(io_, [done, result] { done(result); });
    }
    // Emulates a long poll by reading again every 5 ms.
    const Milliseconds left =
        silent ? wait : std::max(wait - Milliseconds(5), Milliseconds(0));
    RunLater(Milliseconds(5), [this, partition, from, left, done] {
      Read(partition, from, left, Milliseconds(0), done);
    });
  }

  void ReadNewest(const Partition& partition, const std::string& after_key,
                  Milliseconds,
                  std::function<void(const NewestPage&)> done) override {
    ++newest_reads;
    if (partition.stream == kBoardStream) ++board_pages;
    const NewestPage page =
        reachable && !IsUnavailable(partition)
            ? model.ReadNewest(partition, after_key, page_size)
            : NewestPage();
    if (after_page && partition.stream == kBoardStream) after_page(page);
    if (page_latency.count() > 0) {
      return RunLater(page_latency,
                      [done = std::move(done), page] { done(page); });
    }
    boost::asio::post(io_, [done = std::move(done), page] { done(page); });
  }

  standins::UsersStoreModel model;
  // Faults of the next appends, in order.
  std::vector<AppendFault> faults;
  size_t page_size = 500;
  // Before a page of newest records is answered.
  Milliseconds page_latency{0};
  // Runs when a page of the board was read; may write to `model`.
  std::function<void(const NewestPage&)> after_page;
  // Before an append is carried out.
  Milliseconds latency{0};
  // Before a read that has something to return is answered.
  Milliseconds read_latency{0};
  // The same for the streams of these names.
  std::map<std::string, Milliseconds> slow_streams;
  // Runs just before an append is carried out; may write to `model`.
  std::function<void()> before_append;
  bool reachable = true;
  // This stream cannot be read; "" for none.
  std::string unreadable_stream;
  // While `reachable` is false or for an unreadable stream, reads fail at once
  // if this is set, and after their wait otherwise.
  bool fails_at_once = false;
  // If set, the other partitions of its stream are unavailable.
  std::optional<Partition> available_partition;
  // Long polls are answered only once this is false again; other reads are
  // answered.
  bool long_polls_hang = false;
  // Appends with a record of this key are carried out only by
  // CarryOutLateAppends(); "" for none.
  std::string late_key;
  // Appends of this producer are refused; "" for none.
  std::string refused_producer;
  int appends = 0;
  // Appends above the limits of the model, and those of them that had been
  // rejected before with the same records.
  int rejected_appends = 0;
  int repeated_rejections = 0;
  // The most appends that waited for their latency at one time.
  int most_in_flight = 0;
  int reads = 0;
  int newest_reads = 0;
  // Of these, pages of the board.
  int board_pages = 0;
  // Reads that did not wait for a record.
  int immediate_reads = 0;

 private:
  struct LateAppend {
    AppendRequest request;
    // Null once it has run.
    std::function<void(const AppendResult&)> done;
  };

  static void Answer(const std::shared_ptr<LateAppend>& append,
                     const AppendResult& result) {
    const auto done = std::exchange(append->done, nullptr);
    if (done) done(result);
  }

  bool IsLate(const AppendRequest& request) const {
    return std::any_of(
        request.records.begin(), request.records.end(),
        [this](const KeyedRecord& record) { return record.key == late_key; });
  }

  void Delay(const AppendRequest& request, Milliseconds timeout,
             std::function<void(const AppendResult&)> done) {
    late_appends_.push_back(
        std::make_shared<LateAppend>(LateAppend{request, std::move(done)}));
    RunLater(timeout, [append = late_appends_.back()] {
      Answer(append, AppendResult());
    });
  }

  bool IsRefused(const AppendRequest& request) const {
    return request.producer && !refused_producer.empty() &&
           request.producer->producer == refused_producer;
  }

  bool IsUnavailable(const Partition& partition) const {
    return available_partition &&
           available_partition->stream == partition.stream &&
           available_partition->number != partition.number;
  }

  void RunLater(Milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
    timer->async_wait([timer, action = std::move(action)](
                          const boost::system::error_code& code) {
      if (!code) action();
    });
  }

  void OnRejected(const AppendRequest& request) {
    std::string content;
    for (const KeyedRecord& record : request.records) {
      content += record.key + '=' + record.value.value_or("") + '\n';
    }
    ++rejected_appends;
    if (!rejected_.insert(std::move(content)).second) ++repeated_rejections;
  }

  boost::asio::io_context& io_;
  std::vector<std::shared_ptr<LateAppend>> late_appends_;
  int in_flight_ = 0;
  // Content of the appends that were rejected.
  std::set<std::string> rejected_;
};

// Runs the loop until `condition` holds or `limit` has passed. Returns whether
// the condition holds.
inline bool RunUntil(boost::asio::io_context& io,
                     const std::function<bool()>& condition,
                     Duration limit = std::chrono::seconds(20)) {
  const Time end = std::chrono::steady_clock::now() + limit;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return condition();
}

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_AUTO_COORDINATION_STORE_FIXTURE_H_
