// Tests the roles of the stand-in program over HTTP, in one process and on free
// ports.
#include <doctest/doctest.h>

#include <future>
#include <thread>

#include "standins/standin_process.h"
#include "standins/test_client.h"

namespace thornplank::standins {
namespace {

constexpr char kRecords[] = "/v1/streams/jobs/records";

// One role of each kind on free ports, and a proxy in front of the executor.
class Fixture {
 public:
  Fixture() {
    Json any_port = "127.0.0.1:0";
    Json config = {
        {"log", {{"listen", any_port}, {"appends_per_second", 0}}},
        {"instance_list", {{"listen", any_port}, {"include_own", true}}},
        {"workers", {{{"name_prefix", "w"}, {"first_address", any_port}}}},
        {"executors",
         {{{"name_prefix", "x"},
           {"first_address", any_port},
           {"service", "claims"},
           {"slots", 2},
           {"max_connections", 4},
           {"service_time_ms", 1}}}},
        {"proxies",
         {{{"listen", any_port}, {"control", any_port}, {"target", "x0"}}}}};
    Error error;
    auto parsed = ParseStandinConfig(config, &error);
    REQUIRE_MESSAGE(parsed, error.ToString());
    REQUIRE_MESSAGE(process_.Start(*parsed, &error), error.ToString());
    Json addresses = process_.Addresses();
    log = addresses["log"];
    instance_list = addresses["instance_list"];
    worker = addresses["workers"]["w0"];
    executor = addresses["executors"]["x0"];
    proxy = addresses["proxies"][0]["listen"];
    proxy_control = addresses["proxies"][0]["control"];
  }

  std::string log;
  std::string instance_list;
  std::string worker;
  std::string executor;
  std::string proxy;
  std::string proxy_control;

 private:
  StandinProcess process_;
};

Json Records(const std::vector<std::string>& ids) {
  Json records = Json::array();
  for (const std::string& id : ids) {
    records.push_back({{"id", id}, {"data", {{"n", 1}}}});
  }
  return {{"records", records}};
}

Json Grant(int64_t epoch, int64_t sequence,
           const std::map<std::string, int64_t>& leases) {
  Json array = Json::array();
  for (const auto& [id, accelerators] : leases) {
    array.push_back({{"lease_id", id},
                     {"accelerators", accelerators},
                     {"term_ms", 60000},
                     {"task", {{"run_ms", 60000}}}});
  }
  return {{"token", {{"epoch", epoch}, {"sequence", sequence}}},
          {"leases", array}};
}

void SetFault(const std::string& address, const Json& control) {
  REQUIRE(TestClient(address).Post("/control", control).status == 200);
}

// Waits until `field` of GET /control is at least `value`. Fails after 5000
// attempts.
void AwaitControl(const std::string& address, const std::string& field,
                  int64_t value) {
  TestClient client(address);
  for (int attempt = 0; attempt < 5000; ++attempt) {
    if (client.Get("/control").body[field] >= value) return;
    std::this_thread::sleep_for(Milliseconds(1));
  }
  FAIL("timed out waiting for " << field << " >= " << value);
}

TEST_CASE("log: batches get consecutive offsets per stream") {
  Fixture fixture;
  TestClient client(fixture.log);
  CHECK(client.Post(kRecords, Records({"a", "b"})).body["first_offset"] == 0);
  TestAnswer second = client.Post(kRecords, Records({"a"}));
  CHECK(second.body["first_offset"] == 2);
  CHECK(second.body["next_offset"] == 3);
  CHECK(client.Post("/v1/streams/other/records", Records({"c"}))
            .body["first_offset"] == 0);
  Json read = client.Get(std::string(kRecords) + "?from=1&max=1").body;
  REQUIRE(read["records"].size() == 1);
  CHECK(read["records"][0]["offset"] == 1);
  CHECK(read["records"][0]["id"] == "b");
  CHECK(read["next_offset"] == 3);
}

TEST_CASE("log: a read of records removed by retention is answered with 410") {
  Fixture fixture;
  TestClient client(fixture.log);
  client.Post(kRecords, Records({"a", "b", "c", "d"}));
  SetFault(fixture.log, {{"retain_records", 2}});
  struct Row {
    int from;
    int status;
    size_t records;
  };
  for (const Row& row : {Row{0, 410, 0}, Row{1, 410, 0}, Row{2, 200, 2},
                         Row{3, 200, 1}, Row{4, 200, 0}}) {
    CAPTURE(row.from);
    TestAnswer read =
        client.Get(std::string(kRecords) + "?from=" + std::to_string(row.from));
    CHECK(read.status == row.status);
    CHECK(read.body["first_offset"] == 2);
    CHECK(read.body["next_offset"] == 4);
    if (row.status == 200) CHECK(read.body["records"].size() == row.records);
  }
}

TEST_CASE("log: an append whose reply is lost is applied") {
  Fixture fixture;
  TestClient client(fixture.log);
  SetFault(fixture.log, {{"lose_replies", 1}});
  CHECK(client.Post(kRecords, Records({"a"})).status == 0);
  CHECK(client.Post(kRecords, Records({"b"})).body["first_offset"] == 1);
  CHECK(
      client.Get(std::string(kRecords) + "?from=0").body["records"][0]["id"] ==
      "a");
}

TEST_CASE("log: calls during an outage are refused and change nothing") {
  Fixture fixture;
  TestClient client(fixture.log);
  SetFault(fixture.log, {{"outage", true}});
  CHECK(client.Post(kRecords, Records({"a"})).status == 503);
  CHECK(client.Get(std::string(kRecords) + "?from=0").status == 503);
  SetFault(fixture.log, {{"outage", false}});
  CHECK(client.Post(kRecords, Records({"b"})).body["first_offset"] == 0);
}

// The client times out long before the wait of the read would end.
TEST_CASE("log: an append completes a waiting read") {
  Fixture fixture;
  auto read = std::async(std::launch::async, [&fixture] {
    return TestClient(fixture.log)
        .Get(std::string(kRecords) + "?from=0&wait_ms=60000");
  });
  AwaitControl(fixture.log, "waiting", 1);
  TestClient(fixture.log).Post(kRecords, Records({"a"}));
  CHECK(read.get().body["records"].size() == 1);
}

TEST_CASE(
    "log: the rate limit admits the appends of a quarter of a second at once") {
  TokenBucket bucket;
  Time start = Time() + std::chrono::hours(1);
  bucket.set_rate(8);
  CHECK(bucket.Take(start));
  CHECK(bucket.Take(start));
  CHECK_FALSE(bucket.Take(start));
  CHECK_FALSE(bucket.Take(start + Milliseconds(100)));
  CHECK(bucket.Take(start + Milliseconds(130)));
  CHECK_FALSE(bucket.Take(start + Milliseconds(130)));
}

TEST_CASE("worker: an older token is refused and changes nothing") {
  Fixture fixture;
  TestClient client(fixture.worker);
  REQUIRE(client.Post("/v1/leases", Grant(2, 5, {{"a", 1}})).status == 200);
  struct Row {
    int64_t epoch;
    int64_t sequence;
    int status;
  };
  for (const Row& row : {Row{1, 9, 409}, Row{2, 4, 409}, Row{2, 5, 200},
                         Row{2, 6, 200}, Row{2, 5, 409}, Row{3, 0, 200}}) {
    CAPTURE(row.epoch);
    CAPTURE(row.sequence);
    TestAnswer answer = client.Post(
        "/v1/stop",
        {{"token", {{"epoch", row.epoch}, {"sequence", row.sequence}}},
         {"lease_ids", {row.status == 409 ? "a" : "z"}}});
    CHECK(answer.status == row.status);
    CHECK(answer.body["newest_token"]["epoch"] >= 2);
  }
  CHECK(client.Get("/v1/state").body["leases"].size() == 1);
}

TEST_CASE(
    "worker: a grant that does not fit gets 507, an unknown lease is gone") {
  Fixture fixture;
  TestClient client(fixture.worker);
  CHECK(client.Post("/v1/leases", Grant(1, 1, {{"a", 5}, {"b", 4}})).status ==
        507);
  CHECK(client.Get("/v1/state").body["leases"].empty());
  Json report =
      client
          .Post("/v1/renewals", {{"token", {{"epoch", 1}, {"sequence", 1}}},
                                 {"lease_ids", {"a"}},
                                 {"term_ms", 1000}})
          .body;
  REQUIRE(report["leases"].size() == 1);
  CHECK(report["leases"][0]["state"] == "gone");
}

TEST_CASE("worker: a dead worker closes connections and drops its leases") {
  Fixture fixture;
  TestClient client(fixture.worker);
  REQUIRE(client.Post("/v1/leases", Grant(1, 1, {{"a", 5}})).status == 200);
  SetFault(fixture.worker, {{"dead", true}});
  CHECK(client.Get("/v1/state").status == 0);
  CHECK(client.Get("/v1/state").status == 0);
  SetFault(fixture.worker, {{"revive", true}});
  CHECK(client.Get("/v1/state").body["leases"].empty());
  Json history = client.Get("/control").body["history"];
  CHECK(history.back()["what"] == "dropped");
}

TEST_CASE("executor: each fault runs the request or not, as documented") {
  struct Row {
    const char* name;
    Json fault;
    int status;
    const char* not_run;
    int64_t runs;
  };
  const std::vector<Row> rows = {
      {"none", Json::object(), 200, "", 1},
      {"fails fast", {{"fail_fast", true}}, 500, "", 0},
      {"truncates", {{"truncate_next", 1}}, 0, "", 1},
      {"closes after the run", {{"close_after_request", 1}}, 0, "", 1},
      {"oversize", {{"oversize_next", 1}}, 200, "", 1},
      {"just leaving", {{"leaving", true}}, 200, "", 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    SetFault(fixture.executor, row.fault);
    TestClient client(fixture.executor);
    TestAnswer answer = client.Post(
        "/claims", {{"pay", 1}},
        {{"Thornplank-Request-Id", "r1"}, {"Idempotency-Key", "k1"}});
    CHECK(answer.status == row.status);
    CHECK(answer.headers["Thornplank-Not-Run"] == row.not_run);
    Json state = client.Get("/control").body;
    CHECK(state["runs_total"] == row.runs);
    if (row.runs == 0) continue;
    CHECK(state["runs"][0]["request_id"] == "r1");
    CHECK(state["runs"][0]["key"] == "k1");
  }
}

TEST_CASE("executor: a refusal without a free slot says that nothing ran") {
  Fixture fixture;
  SetFault(fixture.executor, {{"late_ms", 3000}});
  std::vector<std::future<TestAnswer>> runs;
  runs.reserve(2);
  for (int index = 0; index < 2; ++index) {
    runs.push_back(std::async(std::launch::async, [&fixture] {
      return TestClient(fixture.executor).Post("/claims", 1);
    }));
  }
  AwaitControl(fixture.executor, "busy", 2);
  TestClient client(fixture.executor);
  TestAnswer refused = client.Post("/claims", 1);
  CHECK(refused.status == 503);
  CHECK(refused.headers["Thornplank-Not-Run"] == "1");
  CHECK(client.Get("/control").body["runs_total"] == 2);
  for (auto& run : runs) CHECK(run.get().status == 200);
}

TEST_CASE("executor: crossed answers carry each other's id") {
  Fixture fixture;
  SetFault(fixture.executor, {{"cross_next", 1}, {"late_ms", 50}});
  auto ask = [&fixture](const char* id) {
    return TestClient(fixture.executor)
        .Post("/claims", 1, {{"Thornplank-Request-Id", id}});
  };
  auto other = std::async(std::launch::async, ask, "r1");
  TestAnswer mine = ask("r2");
  CHECK(mine.headers["Thornplank-Request-Id"] == "r1");
  CHECK(mine.body["request_id"] == "r1");
  CHECK(other.get().body["request_id"] == "r2");
}

TEST_CASE("executor: connections above the limit are closed at accept") {
  Fixture fixture;
  std::vector<std::unique_ptr<TestClient>> clients;
  for (int index = 0; index < 4; ++index) {
    clients.push_back(std::make_unique<TestClient>(fixture.executor));
    CHECK(clients.back()->Get("/healthz").status == 200);
  }
  CHECK(TestClient(fixture.executor).Get("/healthz").status == 0);
  CHECK(clients.front()->Get("/healthz").status == 200);
}

// Guards against a strand that blocks in a receive after a stale readiness
// event. Such events are most frequent on new connections, so every read opens
// one.
TEST_CASE("log: waiting reads on new connections are all answered") {
  constexpr int kCalls = 300;
  Fixture fixture;
  auto call = [&fixture] {
    int answered = 0;
    while (answered < kCalls &&
           TestClient(fixture.log)
                   .Get(std::string(kRecords) + "?from=0&wait_ms=1")
                   .status == 200) {
      ++answered;
    }
    return answered;
  };
  auto other = std::async(std::launch::async, call);
  CHECK(call() == kCalls);
  CHECK(other.get() == kCalls);
}

TEST_CASE("proxy: silent_existing affects existing connections only") {
  Fixture fixture;
  TestClient old_client(fixture.proxy);
  REQUIRE(old_client.Post("/claims", 1).status == 200);
  SetFault(fixture.proxy_control, {{"silent_existing", true}});
  old_client.set_timeout(Milliseconds(200));
  TestAnswer lost = old_client.Post("/claims", 1);
  CHECK(lost.status == 0);
  CHECK(lost.error == boost::beast::error::timeout);
  CHECK(TestClient(fixture.proxy).Post("/claims", 1).status == 200);
  CHECK(TestClient(fixture.executor).Get("/control").body["runs_total"] == 2);
}

TEST_CASE("proxy: connections are refused from cut until heal") {
  Fixture fixture;
  TestClient client(fixture.proxy);
  REQUIRE(client.Get("/healthz").status == 200);
  SetFault(fixture.proxy_control, {{"cut", true}});
  CHECK(client.Get("/healthz").status == 0);
  CHECK(client.Get("/healthz").error == boost::asio::error::connection_refused);
  SetFault(fixture.proxy_control, {{"heal", true}});
  CHECK(client.Get("/healthz").status == 200);
}

TEST_CASE("proxy: bytes are held from freeze until heal") {
  Fixture fixture;
  SetFault(fixture.proxy_control, {{"freeze", true}});
  auto held = std::async(std::launch::async, [&fixture] {
    return TestClient(fixture.proxy).Post("/claims", 1);
  });
  AwaitControl(fixture.proxy_control, "bytes", 1);
  CHECK(TestClient(fixture.executor).Get("/control").body["runs_total"] == 0);
  SetFault(fixture.proxy_control, {{"heal", true}});
  CHECK(held.get().status == 200);
}

TEST_CASE("instance list: a change is visible only after the lag") {
  Fixture fixture;
  TestClient client(fixture.instance_list);
  auto state = [&client] {
    Json list = client.Get("/v1/instances").body;
    for (const Json& instance : list["instances"]) {
      if (instance["name"] != "x0") continue;
      return instance["state"].get<std::string>();
    }
    return std::string("absent");
  };
  SetFault(fixture.instance_list,
           {{"lag_ms", 3600000},
            {"set_state", {{"name", "x0"}, {"state", "leaving"}}}});
  CHECK(state() == "live");
  SetFault(fixture.instance_list, {{"lag_ms", 0}});
  CHECK(state() == "leaving");
  SetFault(fixture.instance_list, {{"remove", "x0"}});
  CHECK(state() == "absent");
}

TEST_CASE("unknown fields of a control call are refused by all roles") {
  Fixture fixture;
  for (const std::string& address :
       {fixture.log, fixture.instance_list, fixture.worker, fixture.executor,
        fixture.proxy_control}) {
    TestClient client(address);
    CHECK(client.Post("/control", {{"outtage", true}}).status == 400);
  }
}

TEST_CASE("config: every instance has a failure domain") {
  struct Row {
    Json domains;
    std::vector<std::string> expected;
  };
  const std::vector<Row> rows = {
      {Json::array(), {"a", "a"}},
      {{"north"}, {"north", "north"}},
      {{"north", "south"}, {"north", "south"}},
  };
  for (const Row& row : rows) {
    const Json group = {
        {"name_prefix", "u"},  {"count", 2},
        {"racks_of", 1},       {"first_address", "127.0.0.1:1000"},
        {"service", "claims"}, {"failure_domains", row.domains}};
    const auto config = ParseStandinConfig({{"users_executors", {group}}},
                                           /*error=*/nullptr);
    REQUIRE(config);
    REQUIRE(config->users_executors.size() == 2);
    for (size_t i = 0; i < row.expected.size(); ++i) {
      CHECK(config->users_executors[i].failure_domain == row.expected[i]);
    }
  }
}

TEST_CASE("config: invalid configurations are refused") {
  struct Row {
    const char* name;
    const char* text;
  };
  const std::vector<Row> rows = {
      {"unknown field", R"({"logs": {}})"},
      {"not an object", R"([])"},
      {"bad address", R"({"log": {"listen": "here"}})"},
      {"no control",
       R"({"proxies": [{"listen": "127.0.0.1:0", "target": "127.0.0.1:1"}]})"},
      {"unknown target",
       R"({"proxies": [{"listen": "127.0.0.1:0", "control": "127.0.0.1:0", "target": "x0"}]})"},
      {"ports run out",
       R"({"workers": [{"name_prefix": "w", "count": 9, "first_address": "127.0.0.1:65530"}]})"},
      {"negative", R"({"log": {"listen": "127.0.0.1:0", "retain_ms": -1}})"},
      {"same names",
       R"({"workers": [{"name_prefix": "w", "first_address": "127.0.0.1:0"}, {"name_prefix": "w", "first_address": "127.0.0.1:0"}]})"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Error error;
    CHECK_FALSE(ParseStandinConfig(*ParseJson(row.text), &error));
    CHECK(error.step == "check config");
    CHECK_FALSE(error.reason.empty());
  }
}

}  // namespace
}  // namespace thornplank::standins
