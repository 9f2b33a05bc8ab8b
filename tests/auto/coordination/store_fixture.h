// A record store on the model of the users' store, on the loop of a test.
#ifndef THORNPLANK_TESTS_AUTO_COORDINATION_STORE_FIXTURE_H_
#define THORNPLANK_TESTS_AUTO_COORDINATION_STORE_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/record_store.h"
#include "standins/users_store_model.h"

namespace thornplank::testing {

// What happens to the next appends.
enum class AppendFault { kNone, kRefused, kLostAnswer, kNotStored };

class FakeRecordStore : public RecordStore {
 public:
  explicit FakeRecordStore(boost::asio::io_context& io) : io_(io) {}

  void Append(const AppendRequest& request, Milliseconds,
              std::function<void(const AppendResult&)> done) override {
    if (latency.count() == 0) return Carry(request, done);
    Later(latency, [this, request, done] { Carry(request, done); });
  }

  void Carry(const AppendRequest& request,
             const std::function<void(const AppendResult&)>& done) {
    ++appends;
    AppendFault fault = AppendFault::kNone;
    if (!faults.empty()) {
      fault = faults.front();
      faults.erase(faults.begin());
    }
    AppendResult result;
    const bool refused = IsRefused(request) || IsAway(request.partition);
    if (refused) fault = AppendFault::kRefused;
    if (fault == AppendFault::kRefused) {
      result.outcome = StoreOutcome::kRefused;
    } else if (fault != AppendFault::kNotStored) {
      result = model.Append(request);
    }
    if (fault == AppendFault::kLostAnswer) {
      result.outcome = StoreOutcome::kUnknown;
    }
    boost::asio::post(io_, [done, result] { done(result); });
  }

  void Read(const Partition& partition, int64_t from, Milliseconds wait,
            Milliseconds,
            std::function<void(const ReadResult&)> done) override {
    ++reads;
    if (!up) {
      return Later(refuses ? Milliseconds(1) : wait,
                   [done] { done(ReadResult()); });
    }
    if (model.end(partition) > from || wait.count() == 0) {
      const ReadResult result = model.Read(partition, from);
      return boost::asio::post(io_, [done, result] { done(result); });
    }
    // Looks again soon, as a long poll would answer.
    Later(Milliseconds(5), [this, partition, from, wait, done] {
      Read(partition, from, std::max(wait - Milliseconds(5), Milliseconds(0)),
           Milliseconds(0), done);
    });
  }

  void ReadNewest(const Partition& partition, const std::string& after_key,
                  Milliseconds,
                  std::function<void(const NewestPage&)> done) override {
    const NewestPage page = up && !IsAway(partition)
                                ? model.Newest(partition, after_key, page_size)
                                : NewestPage();
    boost::asio::post(io_, [done = std::move(done), page] { done(page); });
  }

  standins::UsersStoreModel model;
  std::vector<AppendFault> faults;
  size_t page_size = 500;
  // Until an append arrives.
  Milliseconds latency{0};
  bool up = true;
  // Reads fail at once while it is down; else they hang for their wait.
  bool refuses = false;
  // The other partitions of its stream are away.
  std::optional<Partition> alone;
  // Appends of this producer alone are refused.
  std::string refused_producer;
  int appends = 0;
  int reads = 0;

 private:
  bool IsRefused(const AppendRequest& request) const {
    return request.producer && !refused_producer.empty() &&
           request.producer->producer == refused_producer;
  }

  bool IsAway(const Partition& partition) const {
    return alone && alone->stream == partition.stream &&
           alone->number != partition.number;
  }

  void Later(Milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
    timer->async_wait([timer, action = std::move(action)](
                          const boost::system::error_code& code) {
      if (!code) action();
    });
  }

  boost::asio::io_context& io_;
};

// Runs the loop until `condition` holds; false after a generous limit.
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
