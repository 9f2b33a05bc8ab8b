// The stream writer against a log service that loses, refuses and delays.
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
using test::Notebook;

using Ids = std::vector<std::string>;

struct Fate {
  AppendState state;
  int64_t offset;
};

// Answers the n-th append as `answer` says; what is not answered is lost.
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
    lost_.clear();
  }

  void Append(const std::string& id, Milliseconds deadline,
              Milliseconds linger = Milliseconds(0)) {
    writer_.Append(
        id, Json::object(), std::chrono::steady_clock::now() + deadline,
        [this, id](AppendState state, int64_t offset, const Error&) {
          notes_.Write([&] {
            REQUIRE(fates_.count(id) == 0);
            fates_[id] = {state, offset};
          });
        },
        linger);
  }
  Fate FateOf(const std::string& id) {
    notes_.WaitFor([&] { return fates_.count(id) == 1; });
    return fates_[id];
  }
  void WaitForAttempts(size_t count) {
    notes_.WaitFor([&] { return attempts_.size() >= count; });
  }
  std::vector<Ids> attempts() {
    std::vector<Ids> copy;
    notes_.Write([&] { copy = attempts_; });
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
    notes_.Write([&] {
      attempts_.push_back(ids);
      attempt = attempts_.size();
      // Kept, so that dropping it does not answer.
      lost_.push_back(respond);
    });
    answer_(attempt, respond);
  }

  Notebook notes_;
  std::map<std::string, Fate> fates_;
  std::vector<Ids> attempts_;
  std::vector<HttpServer::Responder> lost_;
  const Answer answer_;
  FakeService service_;
  LogClient log_;
  StreamWriter writer_;
};

void Confirm(const HttpServer::Responder& respond, int64_t first_offset) {
  respond(JsonResponse(200,
                       {{"first_offset", first_offset}, {"next_offset", 100}}));
}

TEST_CASE("a lost or refused append is repeated under the same id") {
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
    const Fate fate = fixture.FateOf("a");
    CHECK(fate.state == AppendState::kAppended);
    CHECK(fate.offset == 7);
    CHECK(fixture.attempts() == std::vector<Ids>{{"a"}, {"a"}});
    CHECK(fixture.writer().healthy());
    CHECK_FALSE(fixture.writer().failing_since().has_value());
    CHECK(fixture.writer().pending() == 0);
  }
}

TEST_CASE("what arrives during an append travels in the next one, in order") {
  std::promise<void> go_on;
  std::shared_future<void> wait = go_on.get_future().share();
  Fixture fixture([&](size_t n, const HttpServer::Responder& respond) {
    if (n == 1) wait.wait();
    Confirm(respond, n == 1 ? 0 : 10);
  });
  fixture.Append("a", Milliseconds(5000));
  fixture.WaitForAttempts(1);
  fixture.Append("b", Milliseconds(5000));
  fixture.Append("c", Milliseconds(5000));
  go_on.set_value();
  CHECK(fixture.FateOf("c").offset == 11);
  CHECK(fixture.FateOf("b").offset == 10);
  CHECK(fixture.FateOf("a").offset == 0);
  CHECK(fixture.attempts() == std::vector<Ids>{{"a"}, {"b", "c"}});
}

TEST_CASE("what may linger travels with the next record, or alone at last") {
  Fixture fixture([](size_t n, const HttpServer::Responder& respond) {
    Confirm(respond, n == 1 ? 0 : 10);
  });
  fixture.Append("kept back", Milliseconds(60000), Milliseconds(50000));
  fixture.Append("urgent", Milliseconds(5000));
  CHECK(fixture.FateOf("kept back").offset == 0);
  CHECK(fixture.FateOf("urgent").offset == 1);
  fixture.Append("alone", Milliseconds(5000), Milliseconds(10));
  CHECK(fixture.FateOf("alone").offset == 10);
  CHECK(fixture.attempts() ==
        std::vector<Ids>{{"kept back", "urgent"}, {"alone"}});
}

TEST_CASE("the deadline tells unknown from never sent") {
  SUBCASE("sent without a reply, and queued behind it") {
    Fixture fixture([](size_t, const HttpServer::Responder&) {});
    fixture.Append("sent", Milliseconds(60));
    fixture.WaitForAttempts(1);
    fixture.Append("queued", Milliseconds(1));
    fixture.Append("third", Milliseconds(60));
    fixture.Append("one too many", Milliseconds(5000));
    CHECK(fixture.FateOf("one too many").state == AppendState::kNotAppended);
    CHECK(fixture.FateOf("queued").state == AppendState::kNotAppended);
    CHECK(fixture.FateOf("sent").state == AppendState::kUnknown);
    CHECK(fixture.FateOf("third").state == AppendState::kNotAppended);
  }
  SUBCASE("an outage's refusal proves nothing") {
    Fixture fixture([](size_t, const HttpServer::Responder& respond) {
      respond(JsonResponse(503, Json::object()));
    });
    fixture.Append("a", Milliseconds(60));
    CHECK(fixture.FateOf("a").state == AppendState::kUnknown);
    CHECK_FALSE(fixture.writer().healthy());
    CHECK(fixture.writer().failing_since().has_value());
  }
  SUBCASE("unknown stays unknown after a later refusal by the rate cap") {
    Fixture fixture([](size_t n, const HttpServer::Responder& respond) {
      if (n > 1) respond(JsonResponse(429, Json::object()));
    });
    fixture.Append("a", Milliseconds(300));
    CHECK(fixture.FateOf("a").state == AppendState::kUnknown);
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

TEST_CASE("Retry-After of the rate cap is obeyed") {
  Fixture fixture([](size_t, const HttpServer::Responder& respond) {
    HttpResponse response = JsonResponse(429, Json::object());
    response.headers.Set("Retry-After", "30");
    respond(std::move(response));
  });
  fixture.Append("a", Milliseconds(300));
  CHECK(fixture.FateOf("a").state == AppendState::kNotAppended);
  CHECK(fixture.attempts().size() == 1);
}

}  // namespace
}  // namespace thornplank
