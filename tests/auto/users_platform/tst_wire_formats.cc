// Tests for the wire formats of the users' platform.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/advice_client.h"
#include "platform/executor_client.h"
#include "platform/metadata_store.h"
#include "platform/wire_formats.h"

namespace thornplank::testing {
namespace {

TEST_CASE("records survive encoding and decoding") {
  const std::vector<KeyedRecord> records = {
      {"a", "value", 0},
      {"dropped", std::nullopt, 0},
      {std::string(255, 'k'), std::string(1000, '\0'), 0}};
  const std::string bytes = EncodeRecords(records);
  std::vector<KeyedRecord> read;
  REQUIRE(DecodeRecords(bytes, 40, &read));
  REQUIRE(read.size() == records.size());
  for (size_t i = 0; i < records.size(); ++i) {
    CHECK(read[i].key == records[i].key);
    CHECK(read[i].value == records[i].value);
    CHECK(read[i].offset == 40 + static_cast<int64_t>(i));
  }
  CHECK_FALSE(DecodeRecords(bytes.substr(0, bytes.size() - 1), 0, &read));
}

TEST_CASE("arbitrary bytes are decoded without a crash") {
  CHECK(rc::check([](const std::string& bytes) {
    std::vector<KeyedRecord> records;
    DecodeRecords(bytes, 0, &records);
    Error error;
    const WireFormats formats;
    formats.ReadJob(bytes, &error);
    formats.ReadConfiguration(bytes, &error);
    formats.ReadWorker({"w", bytes, 0}, &error);
    DecodeStatus(bytes);
    DecodeAdvice(bytes);
    DecodeNewestPage(bytes);
    formats.ReadWorker({bytes, "{}", 0}, &error);
  }));
}

// Guards against restarts that go unnoticed, and against a `born` field of the
// wrong type that makes the whole registration or report unreadable.
TEST_CASE("an incarnation start is decoded or rejected with a reason") {
  struct Row {
    const char* name;
    // As JSON; "" when the field is missing.
    const char* value;
    int64_t born;
    const char* fault;
  };
  const std::vector<Row> rows = {
      {"a time", "1796290960874", 1796290960874, ""},
      {"a time in the future", "4102444800000", 4102444800000, ""},
      {"missing", "", 0, "born is missing"},
      {"null", "null", 0, "born is no whole number"},
      {"a text", R"("1796290960874")", 0, "born is no whole number"},
      {"a fraction", "1796290960874.5", 0, "born is no whole number"},
      {"a list", "[1]", 0, "born is no whole number"},
      {"zero", "0", 0, "born is no time"},
      {"negative", "-5", 0, "born is no time"},
      {"beyond all times", "18446744073709551615", 0, "born is no time"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const std::string value = row.value;
    const std::string field = value.empty() ? "" : ",\"born\":" + value;
    const auto report = DecodeStatus(
        R"({"clock_ms":5,"running":[],"finished":[])" + field + "}");
    const auto worker = WireFormats().ReadWorker(
        {"w",
         R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready",)"
         R"("capacity":{"cpu":1},"labels":["a"])" +
             field + "}",
         0},
        nullptr);
    REQUIRE(report.has_value());
    REQUIRE(worker.has_value());
    for (const IncarnationStart& start :
         {report->incarnation_start, worker->incarnation_start}) {
      CHECK(start.error == row.fault);
      CHECK(start.time.has_value() == (row.born > 0));
      if (!start.time) continue;
      CHECK(ToUnixMilliseconds(*start.time) == row.born);
    }
  }
}

TEST_CASE("a configuration's queues and accounts") {
  const WireFormats formats;
  const auto configuration = formats.ReadConfiguration(
      R"({"version":7,"routes":[
          {"name":"r1","host":"h.example","prefix":"/a/","priority":1,
           "service":"s1","attempts":2,"stretch":3.0,"slo_ms":1000,
           "public":false},
          {"name":"r2","host":"h.example","prefix":"/a/b/","public":true}],
        "limits":{"max_body_bytes":500},
        "tenants":[{"name":"t1","api_keys":["k1","k2"],
                    "guaranteed":{"gpu":72}}]})",
      nullptr);
  REQUIRE(configuration.has_value());
  CHECK(configuration->version == 7);
  CHECK(configuration->max_body_bytes == 500);
  struct Row {
    const char* host;
    const char* path;
    const char* queue;
  };
  const std::vector<Row> rows = {
      {"h.example", "/a/x", "r1"}, {"h.example", "/a/b/x", "r2"},
      {"h.example", "/c", ""},     {"other", "/a/x", ""},
      {"h.example", "/a", ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.path);
    const QueueConfiguration* queue =
        configuration->FindQueue(row.host, row.path);
    CHECK((queue == nullptr ? "" : queue->policy.queue) == row.queue);
  }
  const QueuePolicy& policy = configuration->queues[0].policy;
  CHECK(policy.max_attempts == 2);
  CHECK(policy.slack == Milliseconds(1000));
  CHECK(configuration->AccountsOf("k2") == std::vector<std::string>{"t1"});
  CHECK(configuration->AccountsOf("").empty());
  CHECK(configuration->guarantees().at("t1") == 72);
}

TEST_CASE("a worker's registration") {
  const WireFormats formats;
  const auto worker = formats.ReadWorker(
      {"i-1",
       R"({"service":"s1","addr":"10.0.0.1:80","zone":"z","state":"draining",
           "drain_left_ms":1500,"clock_ms":482113,
           "capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},
           "labels":["a","r1-3"]})",
       0},
      nullptr);
  REQUIRE(worker.has_value());
  CHECK(worker->id == "i-1");
  CHECK(worker->draining);
  CHECK(worker->drain_remaining == Milliseconds(1500));
  CHECK(worker->rack == "r1-3");
  CHECK(worker->capacity.accelerators == 8);
  CHECK(worker->written == Milliseconds(482113));
}

// A valid registration with `field` replaced by `value`, or left out when
// `value` is empty.
std::string RegistrationWith(const std::string& field,
                             const std::string& value) {
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"service", "\"s1\""},
      {"addr", "\"10.0.0.1:80\""},
      {"zone", "\"z\""},
      {"version", "\"v1\""},
      {"slots", "8"},
      {"state", "\"ready\""},
      {"cold_left_ms", "0"},
      {"capacity", R"({"cpu":1,"mem_mb":2,"gpu":8})"},
      {"labels", R"(["a","r1"])"},
      {"clock_ms", "5"},
      {"seq", "4"}};
  std::string text = "{";
  for (const auto& [name, good] : fields) {
    const std::string& shown = name == field ? value : good;
    if (shown.empty()) continue;
    text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + shown;
  }
  return text + "}";
}

TEST_CASE("invalid worker registrations are rejected") {
  struct Row {
    const char* field;
    std::string value;
    bool readable;
  };
  const std::vector<Row> rows = {
      {"", "", true},
      {"service", "", false},
      {"service", "7", false},
      {"service", "\"\"", false},
      {"service", "\"a\\nb\"", false},
      {"addr", "", false},
      {"addr", "\"\"", false},
      {"addr", "[1]", false},
      {"addr", "\"host.example:80\"", false},
      {"addr", "\"10.0.0.1\"", false},
      {"addr", "\"10.0.0.1:99999\"", false},
      {"addr", "\"10.0.0.1:80\\r\\nX: y\"", false},
      {"zone", "", false},
      {"zone", "{}", false},
      {"version", "", true},
      {"slots", "\"eight\"", false},
      {"slots", "", true},
      {"state", "", false},
      {"state", "\"asleep\"", false},
      {"state", "1", false},
      {"state", "\"draining\"", true},
      {"cold_left_ms", "null", false},
      {"capacity", "", false},
      {"capacity", "[]", false},
      {"capacity", R"({"cpu":1,"mem_mb":2})", true},
      {"capacity", R"({"cpu":"1","mem_mb":2,"gpu":8})", false},
      {"capacity", R"({"cpu":-1,"mem_mb":2,"gpu":8})", false},
      {"capacity", R"({"cpu":1,"mem_mb":2,"gpu":18446744073709551615})", false},
      {"capacity", R"({"cpu":1e300,"mem_mb":2,"gpu":8})", false},
      {"labels", "", false},
      {"labels", "\"a\"", false},
      {"labels", R"(["a",3])", false},
      {"labels", R"(["a","r\u0007"])", false},
      {"clock_ms", "\"now\"", false},
      {"seq", "true", false},
  };
  const WireFormats formats;
  for (const Row& row : rows) {
    CAPTURE(std::string(row.field));
    CAPTURE(row.value);
    Error error;
    const auto worker = formats.ReadWorker(
        {"i-1", RegistrationWith(row.field, row.value), 0}, &error);
    CHECK(worker.has_value() == row.readable);
    CHECK(error.reason.empty() == row.readable);
  }
}

TEST_CASE("registrations with invalid keys are rejected") {
  const WireFormats formats;
  for (const std::string& key :
       {std::string(), std::string("a b"), std::string("a\nb"),
        std::string("\xff\xfe"), std::string("a\0b", 3),
        std::string(129, 'i')}) {
    CAPTURE(key.size());
    CHECK_FALSE(
        formats.ReadWorker({key, RegistrationWith("", ""), 0}, nullptr));
  }
  CHECK(formats.ReadWorker({"i-1", RegistrationWith("", ""), 0}, nullptr));
}

TEST_CASE("an invalid item of a page does not affect the others") {
  struct Row {
    const char* name;
    std::string item;
    // The item's decoded value; nullopt when the item is skipped.
    std::optional<std::string> value;
  };
  const std::vector<Row> rows = {
      {"good", R"({"key":"k","value":"eWVz","offset":3})", "yes"},
      {"not base64", R"({"key":"k","value":"e!Vz","offset":3})", ""},
      {"cut base64", R"({"key":"k","value":"eWV","offset":3})", ""},
      {"padding alone", R"({"key":"k","value":"====","offset":3})", ""},
      {"no value", R"({"key":"k","offset":3})", ""},
      {"a value of another type", R"({"key":"k","value":7,"offset":3})", ""},
      {"a key that is no UTF-8",
       "{\"key\":\"\xff\xfe\",\"value\":\"eWVz\",\"offset\":3}", std::nullopt},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const NewestPage page = DecodeNewestPage(
        R"({"items":[{"key":"a","value":"b25l","offset":1},)" + row.item +
        R"(,{"key":"z","value":"dHdv","offset":9}],"has_more":true,"end":12})");
    REQUIRE(page.ok);
    CHECK(page.end == 12);
    CHECK(page.has_more);
    REQUIRE(page.records.size() == (row.value ? 3 : 2));
    CHECK(page.records.front().value == "one");
    CHECK(page.records.back().value == "two");
    if (row.value) CHECK(page.records[1].value == row.value);
  }
  for (const char* body :
       {"", "{}", "[]", R"({"items":{},"end":1})", R"({"items":[]})"}) {
    CAPTURE(std::string(body));
    CHECK_FALSE(DecodeNewestPage(body).ok);
  }
}

TEST_CASE("the runs and run ends of a report") {
  const auto report = DecodeStatus(
      R"({"clock_ms":482113,
          "running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41.5,3]],
          "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"lapsed","c"]]})");
  REQUIRE(report.has_value());
  REQUIRE(report->running.size() == 1);
  CHECK(report->running[0].task.index == 17);
  CHECK(report->running[0].percent == 41);
  REQUIRE(report->ended.size() == 1);
  CHECK(report->ended[0].number == 58);
  CHECK(report->ended[0].end == RunEnd::kLeaseLapsed);
  for (const char* body :
       {"", "{}", "[]", R"({"clock_ms":"x","running":[],"finished":[]})",
        R"({"clock_ms":1,"running":[[1]],"finished":[]})",
        R"({"clock_ms":1,"running":[],"finished":[[1,"x",1,"done",""]]})"}) {
    CAPTURE(body);
    CHECK_FALSE(DecodeStatus(body).has_value());
  }
}

// Guards against runs that are taken for ended because a response of the worker
// has no list that could show them.
TEST_CASE("a response without one of the lists is no report") {
  struct Row {
    const char* name;
    const char* lists;
    bool is_report;
  };
  const std::vector<Row> rows = {
      {"both, empty", R"("running":[],"finished":[])", true},
      {"neither", R"("x":1)", false},
      {"no runs", R"("finished":[])", false},
      {"no ends", R"("running":[])", false},
      {"runs are null", R"("running":null,"finished":[])", false},
      {"ends are null", R"("running":[],"finished":null)", false},
      {"runs are an object", R"("running":{},"finished":[])", false},
      {"ends are a text", R"("running":[],"finished":"")", false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const std::string body = R"({"clock_ms":1,)" + std::string(row.lists) + "}";
    CHECK(DecodeStatus(body).has_value() == row.is_report);
  }
}

// Guards against a page of ends that is taken for all of them: executors list
// 500 at a time.
TEST_CASE("whether a report lists all ends") {
  struct Row {
    const char* name;
    int ends;
    bool complete;
  };
  const std::vector<Row> rows = {
      {"none", 0, true},
      {"one", 1, true},
      {"one less than a page", 499, true},
      {"a full page", 500, false},
      {"more than a page", 501, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::string rows_text;
    for (int number = 1; number <= row.ends; ++number) {
      if (number > 1) rows_text += ",";
      rows_text += "[" + std::to_string(number) + R"(,"5c0e7a21d94b36f8.0.1.)" +
                   std::to_string(number) + R"(",1,"done",""])";
    }
    const auto report = DecodeStatus(
        R"({"clock_ms":1,"running":[],"finished":[)" + rows_text + "]}");
    REQUIRE(report.has_value());
    CHECK(static_cast<int>(report->ended.size()) == row.ends);
    CHECK(report->ends_complete == row.complete);
  }
}

TEST_CASE("a response of the advice service") {
  const auto advice = DecodeAdvice(
      R"({"good":[["i-1","c81e-7a"],["i-2","t"]],"valid_ms":3000})");
  REQUIRE(advice.has_value());
  CHECK(advice->answered);
  CHECK(advice->validity == Milliseconds(3000));
  REQUIRE(advice->approved.size() == 2);
  CHECK(advice->approved[0].worker == "i-1");
  CHECK(advice->approved[0].ticket == "c81e-7a");
  for (const char* body : {"", "{}", R"({"good":[]})", R"({"valid_ms":1})",
                           R"({"good":[["i-1"]],"valid_ms":1})",
                           R"({"good":[[1,2]],"valid_ms":1})"}) {
    CAPTURE(std::string(body));
    CHECK_FALSE(DecodeAdvice(body).has_value());
  }
}

TEST_CASE("a queue that needs advice") {
  const WireFormats formats;
  const auto configuration = formats.ReadConfiguration(
      R"({"version":1,"routes":[
          {"host":"h","prefix":"/a/"},
          {"host":"h","prefix":"/b/",
           "advice":{"decide_ms":40,"each_ms":2,"valid_ms":3000}}]})",
      nullptr);
  REQUIRE(configuration.has_value());
  CHECK_FALSE(configuration->queues[0].policy.advice.has_value());
  const auto& terms = configuration->queues[1].policy.advice;
  REQUIRE(terms.has_value());
  CHECK(terms->query_time == Milliseconds(40));
  CHECK(terms->time_per_worker == Milliseconds(2));
  CHECK(terms->validity == Milliseconds(3000));
}

TEST_CASE("a job definition") {
  const WireFormats formats;
  const auto job = formats.ReadJob(
      R"({"spec":"text","times":3,"start_at_ms":5000,"interval_ms":200,
          "steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,
                    "data_rack":"r1-3"},
                   {"count":20,"cpu":2000,"gpu":1,"depends_on":[0],
                    "checkpointable":true,"gang":true,"same_rack":true,
                    "max_per_server":2}]})",
      nullptr);
  REQUIRE(job.has_value());
  CHECK(job->payload == "text");
  CHECK(job->occurrences == 3);
  CHECK(job->due(2) == FromUnixMilliseconds(5400));
  REQUIRE(job->steps.size() == 2);
  CHECK(job->steps[0].data_rack == "r1-3");
  CHECK(job->steps[1].gang);
  CHECK(job->steps[1].max_per_worker == 2);
  CHECK(job->steps[1].depends_on == std::vector<int>{0});
}

// Guards against a limit on stops for steps that ask for none: callers omit
// fields whose value is 0.
TEST_CASE("an omitted may_miss is the same as 0") {
  struct Row {
    const char* field;
    int max_unavailable;
  };
  const std::vector<Row> rows = {
      {"", 0}, {R"(,"may_miss":0)", 0}, {R"(,"may_miss":3)", 3}};
  const WireFormats formats;
  for (const Row& row : rows) {
    CAPTURE(row.max_unavailable);
    const std::string body =
        std::string(R"({"steps":[{"count":4,"long_running":true)") + row.field +
        "}]}";
    const auto job = formats.ReadJob(body, nullptr);
    REQUIRE(job.has_value());
    CHECK(job->steps[0].max_unavailable == row.max_unavailable);
  }
}

TEST_CASE("the failure domain closed by an operator's record") {
  struct Row {
    const char* key;
    std::string domain;
  };
  const std::vector<Row> rows = {
      {"evacuate/regensburg-a", "regensburg-a"},
      {"evacuate/", ""},
      {"evacuate", ""},
      {"config", ""},
      {"wave/evacuate/a", ""},
  };
  const WireFormats formats;
  for (const Row& row : rows) {
    CAPTURE(row.key);
    CHECK(formats.ClosedDomainOf(row.key) == row.domain);
  }
}

}  // namespace
}  // namespace thornplank::testing
