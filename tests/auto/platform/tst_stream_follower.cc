// The stream follower against a log service that forgets, fails and repeats.
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
using test::Notebook;

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

struct Step {
  int status;
  Json body;
};

// Answers reads by the steps in turn, then with an empty stream's end.
class Fixture {
 public:
  explicit Fixture(std::vector<Step> steps, HttpClientLimits limits = {})
      : steps_(std::move(steps)),
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
              notes_.Write([&] { handed_on.push_back(record.offset); });
            },
            [this](int64_t from, int64_t first) {
              notes_.Write([&] { gaps.emplace_back(from, first); });
            }) {}
  ~Fixture() { service_.pool.Stop(); }

  StreamFollower& follower() { return follower_; }
  void WaitForReads(size_t count) {
    notes_.WaitFor([&] { return reads.size() >= count; });
  }

  Offsets handed_on;
  std::vector<std::pair<int64_t, int64_t>> gaps;
  // "from" and "max" of each read.
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
    size_t step = 0;
    notes_.Write([&] {
      step = reads.size();
      reads.emplace_back(request.query("from"), request.query("max"));
    });
    if (step < steps_.size()) {
      return JsonResponse(steps_[step].status, steps_[step].body);
    }
    const int64_t from = std::stoll(request.query("from"));
    return JsonResponse(200, Records({}, 0, from));
  }

  const std::vector<Step> steps_;
  Notebook notes_;
  FakeService service_;
  LogClient log_;
  StreamFollower follower_;
};

TEST_CASE("records are handed on in order, each offset once") {
  struct Case {
    std::string name;
    std::vector<Step> steps;
    Offsets handed_on;
    std::vector<std::pair<int64_t, int64_t>> gaps;
  };
  const Step whole = {200, Records({0, 1, 2}, 0, 3)};
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
    Fixture fixture(c.steps);
    fixture.follower().Start(0);
    fixture.WaitForReads(c.steps.size() + 2);
    fixture.follower().Stop();
    CHECK(fixture.handed_on == c.handed_on);
    CHECK(fixture.gaps == c.gaps);
    CHECK(fixture.follower().next_offset() == c.handed_on.back() + 1);
    CHECK(fixture.follower().caught_up());
    CHECK(fixture.follower().last_success());
  }
}

TEST_CASE("a failing log shows in last_error, and is not the stream's end") {
  Fixture fixture(std::vector<Step>(1000, Step{503, Json::object()}));
  fixture.follower().Start(5);
  fixture.WaitForReads(3);
  fixture.follower().Stop();
  CHECK(fixture.follower().last_error().step == "read log");
  CHECK_FALSE(fixture.follower().caught_up());
  CHECK_FALSE(fixture.follower().last_success());
  CHECK(fixture.follower().next_offset() == 5);
}

TEST_CASE("an answer that is too large is asked for in smaller parts") {
  HttpClientLimits limits;
  limits.max_response_bytes = 120;
  Fixture fixture({{200, Records({0, 1, 2, 3}, 0, 4)},
                   {200, Records({0, 1}, 0, 4)},
                   {200, Records({0}, 0, 1)}},
                  limits);
  fixture.follower().Start(0);
  fixture.WaitForReads(4);
  fixture.follower().Stop();
  CHECK(fixture.handed_on == Offsets{0});
  CHECK(fixture.reads[1].second == "2");
  CHECK(fixture.reads[2].second == "1");
  CHECK(fixture.reads[3].second == "2");
}

}  // namespace
}  // namespace thornplank
