// Tests the stream writer against a log service that loses, refuses and delays
// appends.
#include <doctest/doctest.h>

#include <future>
#include <map>
#include <string>
#include <vector>

#include "fake_service.h"
#include "platform/stream_writer.h"

namespace thornplank {
namespace {

using test::FakeService;
using test::JsonResponse;
using test::SharedState;

using Ids = std::vector<std::string>;

struct Outcome {
  AppendState state;
  int64_t offset;
};

// Passes the n-th append to `answer`. An append that it does not answer is
// lost.
class Fixture {
 public:
  using Answer = std::function<void(size_t n, const HttpServer::Responder&)>;

  explicit Fixture(Answer answer)
      : answer_(std::move(answer)),
        service_(
            [this](const HttpRequest& request, HttpServer::Responder respond) {
              OnAppend(request, std::move(respond));
            }),
        log_(service_.http, service_.server.address()),
        writer_(service_.pool.io(), log_, "jobs", Settings()) {}
  ~Fixture() {
    service_.pool.Stop();
    unanswered_.clear();
  }

  void Append(const std::string& id, Milliseconds deadline,
              Milliseconds linger = Milliseconds(0)) {
    writer_.Append(
        id, Json::object(), std::chrono::steady_clock::now() + deadline,
        [this, id](AppendState state, int64_t offset, const Error&) {
          state_.Update([&] {
            REQUIRE(outcomes_.count(id) == 0);
            outcomes_[id] = {state, offset};
          });
        },
        linger);
  }
  Outcome OutcomeOf(const std::string& id) {
    state_.WaitFor([&] { return outcomes_.count(id) == 1; });
    return outcomes_[id];
  }
  void WaitForAttempts(size_t count) {
    state_.WaitFor([&] { return attempts_.size() >= count; });
  }
  std::vector<Ids> attempts() {
    std::vector<Ids> copy;
    state_.Update([&] { copy = attempts_; });
    return copy;
  }
  StreamWriter& writer() { return writer_; }
  HttpServer& server() { return service_.server; }

  static StreamWriterSettings Settings() {
    StreamWriterSettings settings;
    settings.timeout = Milliseconds(100);
    settings.retry_delay = Milliseconds(5);
    settings.max_retry_delay = Milliseconds(20);
    settings.min_interval = Milliseconds(1);
    settings.max_pending = 3;
    return settings;
  }

 private:
  void OnAppend(const HttpRequest& request, HttpServer::Responder respond) {
    Ids ids;
    const Json body = ParseJson(request.body).value();
    for (const Json& record : *ArrayField(body, "records")) {
      ids.push_back(*StringField(record, "id"));
    }
    size_t attempt = 0;
    state_.Update([&] {
      attempts_.push_back(ids);
      attempt = attempts_.size();
      // Kept alive, because destroying a responder responds with 500.
      unanswered_.push_back(respond);
    });
    answer_(attempt, respond);
  }

  SharedState state_;
  std::map<std::string, Outcome> outcomes_;
  std::vector<Ids> attempts_;
  std::vector<HttpServer::Responder> unanswered_;
  const Answer answer_;
  FakeService service_;
  LogClient log_;
  StreamWriter writer_;
};

void Confirm(const HttpServer::Responder& respond, int64_t first_offset) {
  respond(JsonResponse(200,
                       {{"first_offset", first_offset}, {"next_offset", 100}}));
}

TEST_CASE("a lost or refused append is retried under the same id") {
  struct Case {
    std::string name;
    Fixture::Answer first_answer;
  };
  const std::vector<Case> cases = {
      {"reply lost", [](size_t, const HttpServer::Responder&) {}},
      {"outage",
       [](size_t, const HttpServer::Responder& respond) {
         respond(JsonResponse(503, Json::object()));
       }},
      {"rate cap",
       [](size_t, const HttpServer::Responder& respond) {
         respond(JsonResponse(429, Json::object()));
       }},
      {"malformed",
       [](size_t, const HttpServer::Responder& respond) {
         respond(JsonResponse(200, Json::object()));
       }},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    Fixture fixture([&c](size_t n, const HttpServer::Responder& respond) {
      n == 1 ? c.first_answer(n, respond) : Confirm(respond, 7);
    });
    fixture.Append("a", Milliseconds(5000));
    const Outcome outcome = fixture.OutcomeOf("a");
    CHECK(outcome.state == AppendState::kAppended);
    CHECK(outcome.offset == 7);
    CHECK(fixture.attempts() == std::vector<Ids>{{"a"}, {"a"}});
    CHECK(fixture.writer().healthy());
    CHECK_FALSE(fixture.writer().failing_since().has_value());
    CHECK(fixture.writer().pending() == 0);
  }
}

TEST_CASE("records queued during an append are sent together, in order") {
  std::promise<void> proceed;
  std::shared_future<void> wait = proceed.get_future().share();
  Fixture fixture([&](size_t n, const HttpServer::Responder& respond) {
    if (n == 1) wait.wait();
    Confirm(respond, n == 1 ? 0 : 10);
  });
  fixture.Append("a", Milliseconds(5000));
  fixture.WaitForAttempts(1);
  fixture.Append("b", Milliseconds(5000));
  fixture.Append("c", Milliseconds(5000));
  proceed.set_value();
  CHECK(fixture.OutcomeOf("c").offset == 11);
  CHECK(fixture.OutcomeOf("b").offset == 10);
  CHECK(fixture.OutcomeOf("a").offset == 0);
  CHECK(fixture.attempts() == std::vector<Ids>{{"a"}, {"b", "c"}});
}

TEST_CASE("a lingering record is sent with the next one, or alone in the end") {
  Fixture fixture([](size_t n, const HttpServer::Responder& respond) {
    Confirm(respond, n == 1 ? 0 : 10);
  });
  fixture.Append("kept back", Milliseconds(60000), Milliseconds(50000));
  fixture.Append("urgent", Milliseconds(5000));
  CHECK(fixture.OutcomeOf("kept back").offset == 0);
  CHECK(fixture.OutcomeOf("urgent").offset == 1);
  fixture.Append("alone", Milliseconds(5000), Milliseconds(10));
  CHECK(fixture.OutcomeOf("alone").offset == 10);
  CHECK(fixture.attempts() ==
        std::vector<Ids>{{"kept back", "urgent"}, {"alone"}});
}

TEST_CASE("an expired record is reported as unknown or as never sent") {
  SUBCASE("sent without a reply, and queued behind it") {
    Fixture fixture([](size_t, const HttpServer::Responder&) {});
    fixture.Append("sent", Milliseconds(60));
    fixture.WaitForAttempts(1);
    fixture.Append("queued", Milliseconds(1));
    fixture.Append("third", Milliseconds(60));
    fixture.Append("one too many", Milliseconds(5000));
    CHECK(fixture.OutcomeOf("one too many").state == AppendState::kNotAppended);
    CHECK(fixture.OutcomeOf("queued").state == AppendState::kNotAppended);
    CHECK(fixture.OutcomeOf("sent").state == AppendState::kUnknown);
    CHECK(fixture.OutcomeOf("third").state == AppendState::kNotAppended);
  }
  SUBCASE("an outage's refusal proves nothing") {
    Fixture fixture([](size_t, const HttpServer::Responder& respond) {
      respond(JsonResponse(503, Json::object()));
    });
    fixture.Append("a", Milliseconds(60));
    CHECK(fixture.OutcomeOf("a").state == AppendState::kUnknown);
    CHECK_FALSE(fixture.writer().healthy());
    CHECK(fixture.writer().failing_since().has_value());
  }
  SUBCASE("unknown stays unknown after a later refusal by the rate cap") {
    Fixture fixture([](size_t n, const HttpServer::Responder& respond) {
      if (n > 1) respond(JsonResponse(429, Json::object()));
    });
    fixture.Append("a", Milliseconds(300));
    CHECK(fixture.OutcomeOf("a").state == AppendState::kUnknown);
    CHECK(fixture.attempts().size() > 1);
  }
  SUBCASE("no connection") {
    IoPool pool(1);
    HttpClient http(pool.io(), {});
    LogClient log(http, "127.0.0.1:1");
    StreamWriter writer(pool.io(), log, "jobs", Fixture::Settings());
    std::promise<AppendState> state;
    writer.Append(
        "a", {}, std::chrono::steady_clock::now() + Milliseconds(60),
        [&state](AppendState s, int64_t, const Error&) { state.set_value(s); });
    pool.Start();
    CHECK(state.get_future().get() == AppendState::kNotAppended);
    pool.Stop();
  }
}

TEST_CASE("Retry-After of the rate limit is honored") {
  Fixture fixture([](size_t, const HttpServer::Responder& respond) {
    HttpResponse response = JsonResponse(429, Json::object());
    response.headers.Set("Retry-After", "30");
    respond(std::move(response));
  });
  fixture.Append("a", Milliseconds(300));
  CHECK(fixture.OutcomeOf("a").state == AppendState::kNotAppended);
  CHECK(fixture.attempts().size() == 1);
}

}  // namespace
}  // namespace thornplank
