// An entry that answers callers, without a process: its copy of the board and
// its CallerService, on a store that tests share with other entries.
#ifndef THORNPLANK_TESTS_AUTO_COORDINATION_CALLER_ENTRY_H_
#define THORNPLANK_TESTS_AUTO_COORDINATION_CALLER_ENTRY_H_

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "coordination/caller_service.h"
#include "coordination/job_board.h"
#include "coordination/record_tail.h"
#include "fake_formats.h"
#include "store_fixture.h"

namespace thornplank::testing {

inline constexpr char kKeyHeader[] = "Key";
// Of the caller, in milliseconds.
inline constexpr char kTimeoutHeader[] = "Timeout";
inline constexpr char kMalformedBody[] = "malformed";
inline constexpr char kBody[] = "a job";
inline constexpr char kKeyed[] = "/keyed/";
inline constexpr char kOtherKeyed[] = "/other-keyed/";
inline constexpr char kPublic[] = "/public/";
inline constexpr char kOtherPublic[] = "/other-public/";
inline constexpr char kNoKey[] = "";
inline constexpr Milliseconds kLongTime{60000};

// Any other body is a job of two steps of one task each.
class CallerFormats : public FakeFormats {
 public:
  CallerHeaders ReadHeaders(const HttpRequest& request) const override {
    CallerHeaders headers;
    headers.key = request.headers.Value(kKeyHeader);
    const std::string timeout = request.headers.Value(kTimeoutHeader);
    if (!timeout.empty()) headers.timeout = Milliseconds(std::stoi(timeout));
    return headers;
  }
  std::optional<JobDefinition> ReadJob(const std::string& body,
                                       Error* error) const override {
    if (body == kMalformedBody) {
      SetError(error, "read job", "caller", "malformed");
      return std::nullopt;
    }
    JobDefinition job = MakeJob("", {MakeStep(1, 1), MakeStep(1, 1, {0})});
    job.payload = R"({"work_ms":50})";
    return job;
  }
  HttpResponse JobStateResponse(JobState state,
                                const std::string&) const override {
    HttpResponse response;
    response.body = ToText(state);
    return response;
  }
  HttpResponse QueueLengthResponse(int64_t waiting_jobs) const override {
    HttpResponse response;
    response.body = std::to_string(waiting_jobs);
    return response;
  }
};

inline QueueConfiguration MakeQueue(const std::string& prefix, bool is_public) {
  QueueConfiguration queue;
  queue.prefix = prefix;
  queue.is_public = is_public;
  queue.policy.queue = "queue of " + prefix;
  queue.policy.service = "claims";
  return queue;
}

inline ServingConfiguration MakeConfiguration() {
  ServingConfiguration configuration;
  configuration.version = 1;
  configuration.queues = {
      MakeQueue(kKeyed, false), MakeQueue(kOtherKeyed, false),
      MakeQueue(kPublic, true), MakeQueue(kOtherPublic, true)};
  configuration.accounts = {{"north", {"north-1", "north-2"}, 0},
                            {"south", {"south-1"}, 0}};
  return configuration;
}

class CallerEntry {
 public:
  // `read_interval`: least time between two reads of the board.
  CallerEntry(boost::asio::io_context& io, FakeRecordStore& store,
              Milliseconds read_interval = Milliseconds(0))
      : io_(io),
        store_(store),
        tail_(io_, store_, TailSettings(read_interval), Handlers()) {
    CallerService::Dependencies dependencies;
    dependencies.configuration = [this] { return &configuration; };
    dependencies.configuration_as_of = [] { return BootClock::now(); };
    dependencies.refresh_configuration =
        [](const std::function<void(bool)>& done) { done(true); };
    dependencies.board = &board_;
    dependencies.board_tail = &tail_;
    dependencies.served_elsewhere = [] { return false; };
    CallerServiceSettings settings;
    settings.board = kBoardPartition;
    // A test process that is not scheduled for a while gets the same answers.
    settings.max_store_age = kLongTime;
    settings.default_timeout = kLongTime;
    settings.catch_up_timeout = kLongTime;
    settings.refresh_timeout = kLongTime;
    service_ = std::make_unique<CallerService>(io_, store_, formats_, settings,
                                               dependencies, metrics_);
    tail_.Start();
    REQUIRE(RunUntil(io_, [this] { return service_->ready(); }));
  }

  ~CallerEntry() { tail_.Stop(); }

  // Sends a call; the returned answer is set once the entry has given it. A
  // call with `forwarded` comes from a gateway.
  std::shared_ptr<std::optional<CallAnswer>> Send(
      const std::string& method, const std::string& target,
      const std::string& key, const std::string& body = "",
      bool forwarded = false, std::optional<Milliseconds> timeout = {}) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.headers.Set(kKeyHeader, key);
    if (timeout) {
      request.headers.Set(kTimeoutHeader, std::to_string(timeout->count()));
    }
    request.body = body;
    auto answer = std::make_shared<std::optional<CallAnswer>>();
    if (forwarded) {
      ForwardedCall call;
      call.request = std::move(request);
      call.time_left = timeout.value_or(kLongTime);
      service_->HandleForwarded(std::move(call), [answer](CallAnswer given) {
        *answer = std::move(given);
      });
    } else {
      service_->Handle(std::move(request), [answer](HttpResponse response) {
        answer->emplace();
        (*answer)->response = std::move(response);
      });
    }
    return answer;
  }

  CallAnswer Call(const std::string& method, const std::string& target,
                  const std::string& key, const std::string& body = "",
                  bool forwarded = false) {
    const auto answer = Send(method, target, key, body, forwarded);
    REQUIRE(RunUntil(io_, [&answer] { return answer->has_value(); }));
    return **answer;
  }

  // Returns once the entry has read all of the board.
  void AwaitBoard() {
    REQUIRE(RunUntil(io_, [this] {
      return tail_.next_offset() == store_.model.end(kBoardPartition);
    }));
  }

  const JobBoard& board() const { return board_; }
  std::string metrics() const { return metrics_.ToText(); }

  ServingConfiguration configuration = MakeConfiguration();

 private:
  static RecordTailSettings TailSettings(Milliseconds read_interval) {
    RecordTailSettings settings;
    settings.partition = kBoardPartition;
    settings.long_poll_wait = Milliseconds(50);
    settings.min_read_interval = read_interval;
    return settings;
  }

  RecordTail::Handlers Handlers() {
    RecordTail::Handlers handlers;
    handlers.on_record = [this](const KeyedRecord& record) {
      board_.Apply(record);
    };
    handlers.on_snapshot = [this](const std::set<std::string>& keys) {
      board_.OnSnapshot(keys);
    };
    handlers.on_caught_up = [] {};
    handlers.on_failure = [](const Error&) {};
    return handlers;
  }

  boost::asio::io_context& io_;
  FakeRecordStore& store_;
  JobBoard board_;
  RecordTail tail_;
  MetricsRegistry metrics_;
  const CallerFormats formats_;
  std::unique_ptr<CallerService> service_;
};

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_AUTO_COORDINATION_CALLER_ENTRY_H_
