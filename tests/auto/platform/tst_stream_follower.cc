// Tests the stream follower against a log service that drops records, fails and
// repeats records.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "fake_service.h"
#include "platform/stream_follower.h"

namespace thornplank {
namespace {

using test::FakeService;
using test::JsonResponse;
using test::SharedState;

using Offsets = std::vector<int64_t>;

Json Records(const Offsets& offsets, int64_t first, int64_t next) {
  Json records = Json::array();
  for (int64_t offset : offsets) {
    records.push_back({{"offset", offset},
                       {"time_ms", 1},
                       {"id", std::to_string(offset)},
                       {"data", Json::object()}});
  }
  return {{"records", records}, {"first_offset", first}, {"next_offset", next}};
}

struct Response {
  int status;
  Json body;
};

// Answers reads with the given responses in turn, then with empty reads at the
// end of the stream.
class Fixture {
 public:
  explicit Fixture(std::vector<Response> responses,
                   HttpClientLimits limits = {})
      : responses_(std::move(responses)),
        service_(
            [this](const HttpRequest& request,
                   const HttpServer::Responder& respond) {
              respond(OnRead(request));
            },
            limits),
        log_(service_.http, service_.server.address()),
        follower_(
            service_.pool.io(), log_, "jobs", Settings(),
            [this](const LogRecord& record) {
              state_.Update([&] { delivered.push_back(record.offset); });
            },
            [this](int64_t from, int64_t first) {
              state_.Update([&] { gaps.emplace_back(from, first); });
            }) {}
  ~Fixture() { service_.pool.Stop(); }

  StreamFollower& follower() { return follower_; }
  void WaitForReads(size_t count) {
    state_.WaitFor([&] { return reads.size() >= count; });
  }

  Offsets delivered;
  std::vector<std::pair<int64_t, int64_t>> gaps;
  // The query parameters "from" and "max" of each read.
  std::vector<std::pair<std::string, std::string>> reads;

 private:
  static StreamFollowerSettings Settings() {
    StreamFollowerSettings settings;
    settings.wait = Milliseconds(20);
    settings.timeout = Milliseconds(2000);
    settings.retry_delay = Milliseconds(2);
    settings.max_retry_delay = Milliseconds(5);
    settings.max_records = 4;
    return settings;
  }

  HttpResponse OnRead(const HttpRequest& request) {
    size_t index = 0;
    state_.Update([&] {
      index = reads.size();
      reads.emplace_back(request.query("from"), request.query("max"));
    });
    if (index < responses_.size()) {
      return JsonResponse(responses_[index].status, responses_[index].body);
    }
    const int64_t from = std::stoll(request.query("from"));
    return JsonResponse(200, Records({}, 0, from));
  }

  const std::vector<Response> responses_;
  SharedState state_;
  FakeService service_;
  LogClient log_;
  StreamFollower follower_;
};

TEST_CASE("records are delivered in order, each offset once") {
  struct Case {
    std::string name;
    std::vector<Response> responses;
    Offsets delivered;
    std::vector<std::pair<int64_t, int64_t>> gaps;
  };
  const Response whole = {200, Records({0, 1, 2}, 0, 3)};
  const std::vector<Case> cases = {
      {"plain", {whole, {200, Records({3}, 0, 4)}}, {0, 1, 2, 3}, {}},
      {"an answer repeats what was read",
       {whole, {200, Records({1, 2, 3}, 0, 4)}},
       {0, 1, 2, 3},
       {}},
      {"an answer with a hole",
       {{200, Records({0, 2}, 0, 3)}, {200, Records({1, 2}, 0, 3)}},
       {0, 1, 2},
       {}},
      {"a stream that went back",
       {whole, {200, Records({0}, 0, 1)}, {200, Records({3}, 0, 4)}},
       {0, 1, 2, 3},
       {}},
      {"an outage and malformed answers",
       {{503, Json::object()},
        {200, Json::array()},
        {200, {{"first_offset", 0}, {"next_offset", 3}}},
        {200,
         {{"records", {{{"offset", 0}}}},
          {"first_offset", 0},
          {"next_offset", 3}}},
        whole},
       {0, 1, 2},
       {}},
      {"retention",
       {whole,
        {410, {{"first_offset", 7}, {"next_offset", 9}}},
        {200, Records({7, 8}, 7, 9)}},
       {0, 1, 2, 7, 8},
       {{3, 7}}},
      {"retention without a refusal",
       {whole, {200, Records({7, 8}, 7, 9)}},
       {0, 1, 2, 7, 8},
       {{3, 7}}},
      {"a refusal that contradicts itself",
       {{410, {{"first_offset", 0}, {"next_offset", 3}}}, whole},
       {0, 1, 2},
       {}},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    Fixture fixture(c.responses);
    fixture.follower().Start(0);
    fixture.WaitForReads(c.responses.size() + 2);
    fixture.follower().Stop();
    CHECK(fixture.delivered == c.delivered);
    CHECK(fixture.gaps == c.gaps);
    CHECK(fixture.follower().next_offset() == c.delivered.back() + 1);
    CHECK(fixture.follower().caught_up());
    CHECK(fixture.follower().last_success());
  }
}

TEST_CASE("a failing log sets last_error and does not count as caught up") {
  Fixture fixture(std::vector<Response>(1000, Response{503, Json::object()}));
  fixture.follower().Start(5);
  fixture.WaitForReads(3);
  fixture.follower().Stop();
  CHECK(fixture.follower().last_error().step == "read log");
  CHECK_FALSE(fixture.follower().caught_up());
  CHECK_FALSE(fixture.follower().last_success());
  CHECK(fixture.follower().next_offset() == 5);
}

TEST_CASE("a response that is too large is requested again in smaller parts") {
  HttpClientLimits limits;
  limits.max_response_bytes = 120;
  Fixture fixture({{200, Records({0, 1, 2, 3}, 0, 4)},
                   {200, Records({0, 1}, 0, 4)},
                   {200, Records({0}, 0, 1)}},
                  limits);
  fixture.follower().Start(0);
  fixture.WaitForReads(4);
  fixture.follower().Stop();
  CHECK(fixture.delivered == Offsets{0});
  CHECK(fixture.reads[1].second == "2");
  CHECK(fixture.reads[2].second == "1");
  CHECK(fixture.reads[3].second == "2");
}

}  // namespace
}  // namespace thornplank
