// EntryCalls for tests: answers by address, as the test sets them.
#ifndef THORNPLANK_TESTS_AUTO_REPLICAS_ENTRY_CALLS_FIXTURE_H_
#define THORNPLANK_TESTS_AUTO_REPLICAS_ENTRY_CALLS_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "reachability/entry_client_interface.h"
#include "replicas/entry_calls.h"

namespace thornplank::testing {

// How an entry answers a forwarded call.
struct FakeAnswer {
  // 0: no answer.
  int status = 200;
  bool try_next = false;
  Milliseconds delay{0};
  bool store_lost = false;
  // Whether a call without an answer may have arrived.
  bool arrives = true;
  int64_t configuration = 1;
  // What the entry says of its last read of the store; nullopt: it does not
  // answer.
  std::optional<Milliseconds> store_age = Milliseconds(100);
};

class FakeEntryCalls : public EntryCalls, public EntryClientInterface {
 public:
  explicit FakeEntryCalls(boost::asio::io_context& io) : io_(io) {}

  void Introduce(
      const std::string& address, const EntryIntroduction& introduction,
      Milliseconds,
      std::function<void(std::optional<IntroductionAnswer>)> done) override {
    introduced.push_back(address);
    const bool sound = answers.count(address) > 0;
    IntroductionAnswer answer;
    ReplicaRoster known;
    known.epoch = introduction.roster_epoch;
    known.number = introduction.roster_number;
    if (roster && roster->IsNewerThan(known)) answer.roster = roster;
    RunLater(Milliseconds(1), [sound, answer, done = std::move(done)] {
      done(sound ? std::make_optional(answer) : std::nullopt);
    });
  }

  void TellRoster(const std::string& address, const ReplicaRoster&,
                  Milliseconds, std::function<void(bool)> done) override {
    const bool sound = answers.count(address) > 0;
    RunLater(Milliseconds(1), [sound, done = std::move(done)] { done(sound); });
  }

  void Forward(const std::string& address, const ForwardedCall& call,
               Milliseconds, std::function<void(ForwardResult)> done) override {
    forwarded.push_back(address);
    min_configurations.push_back(call.min_configuration);
    const FakeAnswer answer =
        answers.count(address) > 0 ? answers.at(address) : FakeAnswer{0};
    RunLater(answer.delay, [answer, done = std::move(done)] {
      ForwardResult result;
      result.may_have_arrived = answer.arrives;
      if (answer.status != 0) {
        CallAnswer fields;
        fields.response.status = answer.status;
        fields.try_next = answer.try_next;
        fields.store_lost = answer.store_lost;
        fields.configuration = answer.configuration;
        result.answer = fields;
      }
      done(std::move(result));
    });
  }

  void FetchStoreAge(
      const std::string& address, Milliseconds,
      std::function<void(std::optional<Milliseconds>)> done) override {
    std::optional<Milliseconds> age;
    if (answers.count(address) > 0) age = answers.at(address).store_age;
    RunLater(Milliseconds(1), [age, done = std::move(done)] { done(age); });
  }

  // By address; entries that are missing do not answer.
  std::map<std::string, FakeAnswer> answers;
  std::optional<ReplicaRoster> roster;
  // Addresses of the calls, in order.
  std::vector<std::string> introduced;
  std::vector<std::string> forwarded;
  std::vector<int64_t> min_configurations;

 private:
  void RunLater(Milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
    timer->async_wait([timer, action = std::move(action)](
                          const boost::system::error_code& code) {
      if (!code) action();
    });
  }

  boost::asio::io_context& io_;
};

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_AUTO_REPLICAS_ENTRY_CALLS_FIXTURE_H_
