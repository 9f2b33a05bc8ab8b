// Tests for the wire formats of workers and of the instance list.
#include <doctest/doctest.h>

#include <future>
#include <string>
#include <vector>

#include "fake_service.h"
#include "platform/instance_list_client.h"
#include "platform/worker_client.h"

namespace thornplank {
namespace {

using test::FakeService;

constexpr Milliseconds kTimeout{2000};

constexpr char kReport[] = R"({
  "worker": "w1", "newest_token": {"epoch": 3, "sequence": 9},
  "accelerators": 8,
  "leases": [{"lease_id": "l1", "gang_id": "g", "job_id": "j", "account": "a",
              "accelerators": 2, "state": "failed", "reason": "broken",
              "progress_ms": 750}],
  "usage": {"as_of_ms": 1000, "accelerators_in_use": 2}})";

struct Answer {
  int status = 200;
  std::string body;
  std::string etag;
  // The last request received.
  HttpRequest request;
};

FakeService::Handler MakeHandler(Answer& answer) {
  return [&answer](const HttpRequest& request, HttpServer::Responder respond) {
    answer.request = request;
    HttpResponse response;
    response.status = answer.status;
    response.body = answer.body;
    if (!answer.etag.empty()) response.headers.Set("ETag", answer.etag);
    respond(std::move(response));
  };
}

struct WorkerResult {
  std::optional<WorkerReport> report;
  WorkerRefusal refusal;
  Error error;
};

template <class Call>
WorkerResult Await(Call call) {
  std::promise<WorkerResult> promise;
  call([&promise](std::optional<WorkerReport> report, WorkerRefusal refusal,
                  const Error& error) {
    promise.set_value({std::move(report), refusal, error});
  });
  return promise.get_future().get();
}

TEST_CASE("each worker call sends its wire format and decodes the report") {
  Answer answer;
  answer.body = kReport;
  FakeService service(MakeHandler(answer));
  WorkerClient client(service.http);
  const std::string address = service.server.address();
  const FencingToken token{3, 9};
  LeaseRequest lease;
  lease.lease_id = "l1";
  lease.gang_id = "g";
  lease.job_id = "j";
  lease.account = "a";
  lease.accelerators = 2;
  lease.term = std::chrono::seconds(15);
  lease.task = {{"run_ms", 5}};
  using Callback = WorkerClient::Callback;
  struct Case {
    std::function<void(Callback)> call;
    std::string line;
    std::string body;
  };
  const std::vector<Case> cases = {
      {[&](Callback done) {
         client.Grant(address, token, {lease}, kTimeout, std::move(done));
       },
       "POST /v1/leases",
       R"({"token":{"epoch":3,"sequence":9},"leases":[{"lease_id":"l1",
           "gang_id":"g","job_id":"j","account":"a","accelerators":2,
           "term_ms":15000,"task":{"run_ms":5}}]})"},
      {[&](Callback done) {
         client.Renew(address, token, {"l1"}, std::chrono::seconds(2), kTimeout,
                      std::move(done));
       },
       "POST /v1/renewals",
       R"({"token":{"epoch":3,"sequence":9},"lease_ids":["l1"],
           "term_ms":2000})"},
      {[&](Callback done) {
         client.Throttle(address, token, {"l1"}, true, kTimeout,
                         std::move(done));
       },
       "POST /v1/throttle",
       R"({"token":{"epoch":3,"sequence":9},"lease_ids":["l1"],
           "throttled":true})"},
      {[&](Callback done) {
         client.Checkpoint(address, token, {"l1"}, kTimeout, std::move(done));
       },
       "POST /v1/checkpoint",
       R"({"token":{"epoch":3,"sequence":9},"lease_ids":["l1"]})"},
      {[&](Callback done) {
         client.Stop(address, token, {"l1"}, kTimeout, std::move(done));
       },
       "POST /v1/stop",
       R"({"token":{"epoch":3,"sequence":9},"lease_ids":["l1"]})"},
      {[&](Callback done) { client.Read(address, kTimeout, std::move(done)); },
       "GET /v1/state", ""},
  };
  for (const Case& c : cases) {
    CAPTURE(c.line);
    const WorkerResult result = Await(c.call);
    CHECK(answer.request.method + " " + answer.request.target == c.line);
    CHECK(ParseJson(answer.request.body) == ParseJson(c.body));
    CHECK(result.refusal == WorkerRefusal::kNone);
    REQUIRE(result.report);
    CHECK(result.report->worker == "w1");
    CHECK(result.report->newest_token == token);
    CHECK(result.report->accelerators_in_use == 2);
    REQUIRE(result.report->leases.size() == 1);
    CHECK(result.report->leases[0].state == LeaseState::kFailed);
    CHECK(result.report->leases[0].reason == "broken");
    CHECK(result.report->leases[0].progress == Milliseconds(750));
  }
}

TEST_CASE("missing or invalid progress is nullopt") {
  Answer answer;
  FakeService service(MakeHandler(answer));
  WorkerClient client(service.http);
  for (const char* field : {"", R"(,"progress_ms":-1)", R"(,"progress_ms":"7")",
                            R"(,"progress_ms":9000000000000000000)"}) {
    CAPTURE(field);
    answer.body = R"({"worker":"w1","accelerators":8,"leases":[)"
                  R"({"lease_id":"l1","state":"checkpointed")" +
                  std::string(field) + "}]}";
    const WorkerResult result = Await([&](WorkerClient::Callback done) {
      client.Read(service.server.address(), kTimeout, std::move(done));
    });
    REQUIRE(result.report);
    REQUIRE(result.report->leases.size() == 1);
    CHECK_FALSE(result.report->leases[0].progress);
  }
}

TEST_CASE("the refusals of a worker are distinguished") {
  struct Case {
    int status;
    std::string body;
    WorkerRefusal refusal;
  };
  const std::vector<Case> cases = {
      {409, R"({"newest_token":{"epoch":4,"sequence":1}})",
       WorkerRefusal::kStaleToken},
      {507, "{}", WorkerRefusal::kNoRoom},
      {500, "oops", WorkerRefusal::kOther},
      {200, "no json", WorkerRefusal::kOther},
      {200, R"({"worker":"w1"})", WorkerRefusal::kOther},
      // A lease that cannot be decoded must not be skipped.
      {200, R"({"worker":"w1","accelerators":8,
                "leases":[{"lease_id":"l1","state":"dancing"}]})",
       WorkerRefusal::kOther},
  };
  Answer answer;
  FakeService service(MakeHandler(answer));
  WorkerClient client(service.http);
  for (const Case& c : cases) {
    CAPTURE(c.body);
    answer.status = c.status;
    answer.body = c.body;
    const WorkerResult result = Await([&](WorkerClient::Callback done) {
      client.Stop(service.server.address(), {}, {"l1"}, kTimeout,
                  std::move(done));
    });
    CHECK_FALSE(result.report);
    CHECK(result.refusal == c.refusal);
    CHECK(result.error.step == "stop");
    CHECK(result.error.peer == service.server.address());
  }
  const WorkerResult unreachable = Await([&](WorkerClient::Callback done) {
    client.Read("127.0.0.1:1", kTimeout, std::move(done));
  });
  CHECK(unreachable.refusal == WorkerRefusal::kUnreachable);
}

TEST_CASE("the instance list skips invalid items") {
  Answer answer;
  answer.body = R"({"as_of_ms": 5000, "instances": [
    {"name": "w1", "kind": "worker", "address": "127.0.0.1:5",
     "failure_domain": "Fukuoka", "state": "leaving", "rack": "r1",
     "accelerators": 8, "cores": 32, "memory_mb": 64000},
    {"name": "x", "kind": "robot", "address": "127.0.0.1:6"},
    {"kind": "entry", "address": "127.0.0.1:7"},
    {"name": "e1", "kind": "executor", "address": "127.0.0.1:8",
     "state": "live", "service": "price", "slots": 8}]})";
  FakeService service(MakeHandler(answer));
  InstanceListClient client(service.http, service.server.address());
  const auto read = [&client] {
    std::promise<std::optional<InstanceList>> promise;
    client.Read(kTimeout,
                [&promise](std::optional<InstanceList> list, const Error&) {
                  promise.set_value(std::move(list));
                });
    return promise.get_future().get();
  };
  const std::optional<InstanceList> list = read();
  REQUIRE(list);
  CHECK(list->as_of == FromUnixMilliseconds(5000));
  REQUIRE(list->instances.size() == 2);
  CHECK(list->instances[0].leaving);
  CHECK(list->instances[0].rack == "r1");
  CHECK(list->instances[0].memory_mb == 64000);
  CHECK(list->instances[1].kind == InstanceKind::kExecutor);
  CHECK(list->instances[1].slots == 8);
  // With an ETag, an unchanged list is not sent again.
  answer.etag = "\"7\"";
  REQUIRE(read());
  answer.status = 304;
  answer.body.clear();
  const std::optional<InstanceList> unchanged = read();
  REQUIRE(unchanged);
  CHECK(unchanged->as_of == FromUnixMilliseconds(5000));
  CHECK(unchanged->instances.size() == 2);
  CHECK(answer.request.headers.Value("If-None-Match") == "\"7\"");
  answer.status = 200;
  for (const char* body : {"[]", "{}", R"({"as_of_ms":1})"}) {
    CAPTURE(body);
    answer.body = body;
    CHECK_FALSE(read());
  }
}

}  // namespace
}  // namespace thornplank
