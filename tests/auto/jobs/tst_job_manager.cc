// JobManager with a log service and workers in one process, connected through
// real sockets.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "api/api_router.h"
#include "jobs/job_manager.h"
#include "metrics/metrics_registry.h"
#include "net/http_client.h"
#include "platform/log_client.h"
#include "protocol/peer_mesh.h"
#include "standins/log_role.h"
#include "standins/worker_role.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{10000};
constexpr milliseconds kPollInterval{20};

bool Eventually(const std::function<bool()>& condition,
                milliseconds timeout = kTimeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return condition();
}

JobManagerSettings MakeSettings(const std::string& name) {
  JobManagerSettings settings;
  settings.name = name;
  settings.incarnation = "1";
  settings.submit_timeout = milliseconds(1500);
  settings.log_down_after = milliseconds(1200);
  settings.follower.wait = milliseconds(300);
  settings.follower.timeout = milliseconds(1000);
  settings.leases.renewal_interval = milliseconds(200);
  settings.election.vacancy_delay = milliseconds(50);
  settings.election.rank_delay = milliseconds(100);
  settings.election.min_tenure = milliseconds(200);
  settings.retention_check_interval = milliseconds(100);
  settings.snapshot_records = 20;
  settings.snapshot_jobs_per_part = 4;
  return settings;
}

PeerMeshSettings MakeMeshSettings(const std::string& name) {
  PeerMeshSettings settings;
  settings.name = name;
  settings.incarnation = "1";
  settings.failure_domain = "d1";
  settings.listen = "127.0.0.1:0";
  settings.shared_secret = "secret of the test";
  return settings;
}

// One entry: a JobManager with its clients and routes, without an HTTP server.
struct Entry {
  Entry(boost::asio::io_context& io, const std::string& log_address,
        const std::string& name)
      : mesh(io, MakeMeshSettings(name)),
        http(io, HttpClientLimits{}),
        log(http, log_address),
        router({{"n", "north-token", Role::kCaller, "north"},
                {"s", "south-token", Role::kCaller, "south"},
                {"v", "viewer-token", Role::kViewer, ""},
                {"o", "operator-token", Role::kOperator, ""}}),
        jobs(io, http, log, &mesh, MakeSettings(name), metrics) {
    jobs.RegisterRoutes(router);
  }

  HttpResponse Call(const std::string& method, const std::string& target,
                    const std::string& token, const std::string& body = "") {
    std::mutex mutex;
    std::condition_variable done;
    std::optional<HttpResponse> answer;
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers.Set("Authorization", "Bearer " + token);
    router.Route(request, [&](HttpResponse response) {
      const std::lock_guard<std::mutex> lock(mutex);
      answer = std::move(response);
      done.notify_one();
    });
    std::unique_lock<std::mutex> lock(mutex);
    done.wait(lock, [&] { return answer.has_value(); });
    return *answer;
  }

  std::string PhaseOf(const std::string& id) {
    const HttpResponse answer = Call("GET", "/v1/jobs/" + id, "operator-token");
    const std::optional<Json> json = ParseJson(answer.body);
    if (answer.status != 200 || !json) return "";
    return StringField(*json, "phase").value_or("");
  }

  MetricsRegistry metrics;
  PeerMesh mesh;
  HttpClient http;
  LogClient log;
  ApiRouter router;
  JobManager jobs;
};

// A log service, two workers and any number of entries.
class Platform {
 public:
  Platform()
      : work_(boost::asio::make_work_guard(io)),
        log(boost::asio::make_strand(io), {}) {
    Error error;
    REQUIRE(log.Open("127.0.0.1:0", &error));
    for (int i = 1; i <= 2; ++i) {
      standins::WorkerSettings settings;
      settings.name = "w" + std::to_string(i);
      workers.push_back(std::make_unique<standins::WorkerRole>(
          boost::asio::make_strand(io), settings));
      REQUIRE(workers.back()->Open("127.0.0.1:0", &error));
    }
    for (int i = 0; i < 4; ++i) {
      threads_.emplace_back([this] { io.run(); });
    }
  }

  ~Platform() {
    for (const auto& entry : entries) {
      entry->jobs.Stop();
      entry->mesh.Stop();
    }
    work_.reset();
    io.stop();
    for (std::thread& thread : threads_) thread.join();
    entries.clear();
  }

  Entry& AddEntry(const std::string& name) {
    entries.push_back(std::make_unique<Entry>(io, log.address(), name));
    Entry& entry = *entries.back();
    AccountGuarantee north;
    north.account = "north";
    entry.jobs.SetWorkers(infos());
    entry.jobs.SetGuarantees({north});
    entry.jobs.Start();
    return entry;
  }

  std::vector<WorkerInfo> infos() const {
    std::vector<WorkerInfo> infos;
    for (size_t i = 0; i < workers.size(); ++i) {
      WorkerInfo info;
      info.name = "w" + std::to_string(i + 1);
      info.address = workers[i]->address();
      info.rack = "r1";
      info.failure_domain = "d1";
      info.accelerators = 8;
      infos.push_back(info);
    }
    return infos;
  }

  // Links every entry with every other.
  void Connect() {
    Error error;
    std::vector<std::string> addresses;
    for (const auto& entry : entries) {
      REQUIRE(entry->mesh.Start(&error));
      addresses.push_back(entry->mesh.address());
    }
    for (const auto& entry : entries) entry->mesh.SetPeers(addresses);
    for (const auto& entry : entries) {
      REQUIRE(Eventually([&] {
        return entry->mesh.connected_peers().size() + 1 == entries.size();
      }));
    }
  }

  void ControlLog(const Json& control) {
    SendControlRequest(log.address(), "POST", control.dump());
  }

  // Whether the lease history of a worker contains an event of kind `what`.
  bool HasHistoryEvent(size_t worker, const std::string& what) {
    const std::string state =
        SendControlRequest(workers[worker]->address(), "GET", "");
    return state.find("\"what\":\"" + what + "\"") != std::string::npos;
  }

  // Calls the control interface of the log or a worker. Returns the body of the
  // response; empty on failure.
  std::string SendControlRequest(const std::string& address,
                                 const std::string& method,
                                 const std::string& body) {
    HttpClient http(io, HttpClientLimits{});
    std::promise<std::string> answer;
    HttpRequest request;
    request.method = method;
    request.target = "/control";
    request.body = body;
    http.Send(
        address, request, HttpSendOptions{},
        [&](const std::optional<HttpResponse>& response, const HttpFailure&) {
          answer.set_value(response ? response->body : "");
        });
    return answer.get_future().get();
  }

  boost::asio::io_context io;

 private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::thread> threads_;

 public:
  standins::LogRole log;
  std::vector<std::unique_ptr<standins::WorkerRole>> workers;
  std::vector<std::unique_ptr<Entry>> entries;
};

std::string JobBody(const std::string& id, int members, int run_ms,
                    const std::string& priority = "normal") {
  return Json{{"id", id},
              {"account", "north"},
              {"priority", priority},
              {"members", members},
              {"accelerators", 8},
              {"task", {{"run_ms", run_ms}}}}
      .dump();
}

// Adds the first entry and waits until it is the coordinator.
Entry& AddCoordinator(Platform* platform) {
  Entry& entry = platform->AddEntry("e1");
  entry.jobs.SetLiveEntries({"e1"});
  REQUIRE(Eventually([&] { return entry.jobs.is_coordinator(); }));
  return entry;
}

// The number of attempts of `job` according to `entry`; -1 if it is not stated.
int64_t Attempts(Entry& entry, const std::string& job) {
  const std::optional<Json> status =
      ParseJson(entry.Call("GET", "/v1/jobs/" + job, "north-token").body);
  REQUIRE(status);
  return IntField(*status, "attempts").value_or(-1);
}

TEST_CASE("a job submitted at one entry is run by another, visible at both") {
  Platform platform;
  Entry& first = AddCoordinator(&platform);
  Entry& second = platform.AddEntry("e2");
  REQUIRE(Eventually([&] { return second.jobs.ready(); }));
  const HttpResponse taken =
      second.Call("POST", "/v1/jobs", "north-token", JobBody("a", 2, 100));
  CHECK(taken.status == 202);
  CHECK(Eventually([&] { return second.PhaseOf("a") == "finished"; }));
  CHECK(Eventually([&] { return first.PhaseOf("a") == "finished"; }));
  // A repeated submission is answered from the job table.
  const HttpResponse again =
      first.Call("POST", "/v1/jobs", "north-token", JobBody("a", 2, 100));
  CHECK(again.status == 202);
  CHECK(first.Call("POST", "/v1/jobs", "north-token", JobBody("a", 1, 100))
            .status == 409);
}

TEST_CASE("a job moved off a worker continues, and its progress is shown") {
  Platform platform;
  Entry& entry = AddCoordinator(&platform);
  REQUIRE(entry.Call("POST", "/v1/jobs", "north-token", JobBody("a", 1, 60000))
              .status == 202);
  REQUIRE(Eventually([&] { return entry.PhaseOf("a") == "running"; }));
  const auto read = [&entry] {
    const HttpResponse answer = entry.Call("GET", "/v1/jobs/a", "north-token");
    return ParseJson(answer.body).value_or(Json::object());
  };
  CHECK(read()["progress_ms"] == 0);
  const bool on_first = platform.HasHistoryEvent(0, "started");
  std::vector<WorkerInfo> workers = platform.infos();
  workers[on_first ? 0 : 1].leaving = true;
  entry.jobs.SetWorkers(workers);
  CHECK(Eventually([&] { return read()["attempts"] == 2; }));
  CHECK(read()["progress_ms"] > 0);
}

struct AccessCase {
  const char* method;
  const char* target;
  const char* token;
  int status;
};

TEST_CASE("callers have access only to the jobs of their own account") {
  Platform platform;
  Entry& entry = AddCoordinator(&platform);
  REQUIRE(entry.Call("POST", "/v1/jobs", "north-token", JobBody("a", 1, 60000))
              .status == 202);
  const std::vector<AccessCase> cases = {
      {"GET", "/v1/jobs/a", "north-token", 200},
      {"GET", "/v1/jobs/a", "south-token", 404},
      {"GET", "/v1/jobs/a", "viewer-token", 200},
      {"GET", "/v1/jobs?account=north", "south-token", 403},
      {"GET", "/v1/jobs", "viewer-token", 200},
      {"DELETE", "/v1/jobs/a", "south-token", 404},
      {"DELETE", "/v1/jobs/a", "viewer-token", 403},
      {"DELETE", "/v1/jobs/none", "operator-token", 404},
      {"DELETE", "/v1/jobs/a", "north-token", 202},
  };
  for (const AccessCase& one : cases) {
    CAPTURE(one.method);
    CAPTURE(one.target);
    CAPTURE(one.token);
    CHECK(entry.Call(one.method, one.target, one.token).status == one.status);
  }
  CHECK(entry.PhaseOf("a") == "cancelled");
  CHECK(entry.Call("POST", "/v1/jobs", "south-token", JobBody("b", 1, 1))
            .status == 403);
  CHECK(entry.Call("POST", "/v1/jobs", "viewer-token", JobBody("b", 1, 1))
            .status == 403);
  CHECK(entry.Call("POST", "/v1/jobs", "north-token", "{").status == 400);
  CHECK(entry.Call("POST", "/v1/jobs", "north-token", JobBody("b", 99, 1))
            .status == 422);
}

TEST_CASE("running jobs continue under the next coordinator") {
  Platform platform;
  Entry& first = AddCoordinator(&platform);
  Entry& second = platform.AddEntry("e2");
  second.jobs.SetLiveEntries({"e1", "e2"});
  REQUIRE(first.Call("POST", "/v1/jobs", "north-token", JobBody("a", 2, 2000))
              .status == 202);
  REQUIRE(Eventually([&] { return second.PhaseOf("a") == "running"; }));
  SUBCASE("after a planned stop") {
    bool drained = false;
    first.jobs.Drain([&] { drained = true; });
    CHECK(Eventually([&] { return drained; }));
  }
  SUBCASE("after its death") {
    first.jobs.Stop();
    second.jobs.SetLiveEntries({"e2"});
  }
  CHECK(Eventually([&] { return second.jobs.is_coordinator(); }));
  CHECK(second.jobs.epoch() == 2);
  CHECK_FALSE(first.jobs.is_coordinator());
  CHECK(Eventually([&] { return second.PhaseOf("a") == "finished"; }));
  CHECK(Attempts(second, "a") == 1);
}

TEST_CASE("a coordinator that sees a newer epoch steps down") {
  Platform platform;
  Entry& first = AddCoordinator(&platform);
  Entry& second = platform.AddEntry("e2");
  // The second entry wrongly considers the first one dead.
  second.jobs.SetLiveEntries({"e2"});
  CHECK(Eventually([&] { return second.jobs.is_coordinator(); }));
  second.jobs.SetLiveEntries({"e1", "e2"});
  first.jobs.SetLiveEntries({"e1", "e2"});
  CHECK(Eventually([&] { return !first.jobs.is_coordinator(); }));
  CHECK(first.jobs.epoch() == second.jobs.epoch());
}

TEST_CASE("while the log is down submissions are refused at once") {
  Platform platform;
  Entry& entry = AddCoordinator(&platform);
  REQUIRE(entry.Call("POST", "/v1/jobs", "north-token", JobBody("a", 1, 2500))
              .status == 202);
  REQUIRE(Eventually([&] { return entry.PhaseOf("a") == "running"; }));
  platform.ControlLog({{"outage", true}});
  std::this_thread::sleep_for(milliseconds(1500));
  const HttpResponse refused =
      entry.Call("POST", "/v1/jobs", "north-token", JobBody("b", 1, 10));
  CHECK(refused.status == 503);
  CHECK(refused.headers.Value("Thornplank-Outcome") == "not-run");
  CHECK(refused.headers.Has("Retry-After"));
  CHECK(entry.jobs.is_coordinator());
  // The job ends while the log is down; its end is recorded once the log is
  // available again.
  std::this_thread::sleep_for(milliseconds(1500));
  platform.ControlLog({{"outage", false}});
  CHECK(Eventually([&] { return entry.PhaseOf("a") == "finished"; }));
  CHECK(entry.PhaseOf("b") == "");
}

struct UrgentCase {
  const char* name;
  // Index of the entry that gets the submission; entry 0 is the coordinator.
  size_t asked;
  bool linked;
  int status;
};

TEST_CASE("urgent jobs start while the log is down") {
  const std::vector<UrgentCase> cases = {
      {"at the coordinator", 0, true, 202},
      {"at another entry", 1, true, 202},
      {"at the coordinator, without a peer to hold the job", 0, false, 503},
      {"without a link to the coordinator", 1, false, 503},
  };
  for (const UrgentCase& one : cases) {
    CAPTURE(one.name);
    Platform platform;
    Entry& first = platform.AddEntry("e1");
    first.jobs.SetLiveEntries({"e1"});
    REQUIRE(Eventually([&] { return first.jobs.is_coordinator(); }));
    Entry& second = platform.AddEntry("e2");
    REQUIRE(Eventually([&] { return second.jobs.ready(); }));
    if (one.linked) platform.Connect();
    platform.ControlLog({{"outage", true}});
    std::this_thread::sleep_for(milliseconds(1500));
    const HttpResponse answer = platform.entries[one.asked]->Call(
        "POST", "/v1/jobs", "north-token", JobBody("a", 2, 100, "urgent"));
    CHECK(answer.status == one.status);
    const bool ran =
        Eventually([&] { return platform.HasHistoryEvent(0, "finished"); },
                   milliseconds(1000));
    CHECK(ran == (one.status == 202));
    platform.ControlLog({{"outage", false}});
    if (one.status != 202) continue;
    CHECK(Eventually([&] { return second.PhaseOf("a") == "finished"; }));
    CHECK(Attempts(second, "a") == 1);
  }
}

TEST_CASE("an entry that starts after retention reads the last snapshot") {
  Platform platform;
  Entry& first = AddCoordinator(&platform);
  platform.ControlLog({{"retain_records", 60}});
  for (int i = 0; i < 40; ++i) {
    const std::string id = "j" + std::to_string(i);
    REQUIRE(first.Call("POST", "/v1/jobs", "north-token", JobBody(id, 1, 1))
                .status == 202);
    REQUIRE(Eventually([&] { return first.PhaseOf(id) == "finished"; }));
  }
  Entry& late = platform.AddEntry("e2");
  CHECK(Eventually([&] { return late.jobs.ready(); }));
  CHECK(late.PhaseOf("j0") == "finished");
  CHECK(late.PhaseOf("j39") == "finished");
  CHECK(late.jobs.epoch() == first.jobs.epoch());
}

TEST_CASE("an entry joins from a peer's snapshot") {
  Platform platform;
  Entry& first = AddCoordinator(&platform);
  REQUIRE(first.Call("POST", "/v1/jobs", "north-token", JobBody("a", 1, 50))
              .status == 202);
  Entry joining(platform.io, platform.log.address(), "e3");
  Error error;
  CHECK(joining.jobs.ConsumeSnapshot(first.jobs.ProduceSnapshot(), &error));
  CHECK(joining.jobs.jobs_offset() >= 2);
  CHECK_FALSE(joining.jobs.ConsumeSnapshot(Json::object(), &error));
  joining.jobs.Stop();
}

}  // namespace
}  // namespace thornplank
