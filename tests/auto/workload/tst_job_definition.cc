// Limits for jobs, their stored form, and references to tasks.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <string>
#include <vector>

#include "workload/job_definition.h"
#include "workload/task_ref.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

TEST_CASE("jobs out of bounds are refused with a reason") {
  struct Row {
    const char* name;
    std::function<void(JobDefinition*)> change;
    bool valid;
  };
  const std::vector<Row> rows = {
      {"unchanged", [](JobDefinition*) {}, true},
      {"no steps", [](JobDefinition* job) { job->steps.clear(); }, false},
      {"no tasks", [](JobDefinition* job) { job->steps[0].count = 0; }, false},
      {"too many tasks",
       [](JobDefinition* job) {
         job->steps[0].count = kMaxTasksPerStep;
         job->occurrences = 10;
       },
       false},
      {"negative need",
       [](JobDefinition* job) { job->steps[0].need.memory_mb = -1; }, false},
      {"a need that would overflow",
       [](JobDefinition* job) {
         job->steps[0].need.cpu_millis = int64_t{1} << 62;
       },
       false},
      {"depends on itself",
       [](JobDefinition* job) { job->steps[1].depends_on = {1}; }, false},
      {"depends on a later step",
       [](JobDefinition* job) { job->steps[0].depends_on = {1}; }, false},
      {"depends on no step",
       [](JobDefinition* job) { job->steps[1].depends_on = {-1}; }, false},
      {"a long payload",
       [](JobDefinition* job) {
         job->payload = std::string(kMaxPayloadBytes + 1, 'x');
       },
       false},
      {"a negative interval",
       [](JobDefinition* job) { job->interval = Milliseconds(-1); }, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    JobDefinition job =
        MakeJob("0123456789abcdef", {MakeStep(1, 1), MakeStep(2, 1, {0})});
    row.change(&job);
    std::string reason;
    CHECK(IsValidJob(job, &reason) == row.valid);
    CHECK(reason.empty() == row.valid);
  }
}

TEST_CASE("a stored job is decoded unchanged") {
  StepSpec step = MakeStep(3, 2);
  step.gang = true;
  step.same_rack = true;
  step.checkpointable = true;
  step.required_label = "fast";
  step.data_rack = "r1";
  step.max_per_worker = 2;
  JobDefinition job = MakeJob("0123456789abcdef", {step, MakeStep(1, 0, {0})});
  job.payload = std::string("a\0b", 3);
  job.occurrences = 4;
  job.interval = Milliseconds(2000);
  job.policy.advice =
      AdviceTerms{Milliseconds(40), Milliseconds(2), Milliseconds(3000)};
  const std::string bytes = EncodeJob(job);
  const auto read = DecodeJob(bytes, nullptr);
  REQUIRE(read.has_value());
  CHECK(EncodeJob(*read) == bytes);
  CHECK(read->steps[0].data_rack == "r1");
  CHECK(read->payload == job.payload);
  REQUIRE(read->policy.advice.has_value());
  CHECK(read->policy.advice->time_per_worker == Milliseconds(2));
}

TEST_CASE("arbitrary bytes are decoded or refused without harm") {
  CHECK(rc::check([](const std::string& bytes) {
    Error error;
    if (!DecodeJob(bytes, &error)) RC_ASSERT(!error.reason.empty());
  }));
  // An array longer than memory.
  Error error;
  CHECK_FALSE(DecodeJob("\x9b"
                        "aaaaaaaa",
                        &error)
                  .has_value());
  CHECK_FALSE(error.reason.empty());
  const std::string good =
      EncodeJob(MakeJob("0123456789abcdef", {MakeStep(1, 1)}));
  CHECK(rc::check([&good] {
    std::string bytes = good;
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    DecodeJob(bytes, nullptr);
  }));
}

TEST_CASE("references to tasks are parsed from their text") {
  const TaskRef task{{"0123456789abcdef", 2, 3}, 17};
  CHECK(task.ToString() == "0123456789abcdef.2.3.17");
  CHECK(ParseTaskRef(task.ToString()) == task);
  for (const char* text : {"", ".", "a.b.c.d", "a.1.2", "a.1.2.-3", "a.1.2.3x",
                           ".1.2.3", "a.1.2.99999999999"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseTaskRef(text).has_value());
  }
}

TEST_CASE("a job's id is sixteen hexadecimal digits") {
  CHECK(IsJobId("0123456789abcdef"));
  CHECK_FALSE(IsJobId("0123456789abcde"));
  CHECK_FALSE(IsJobId("0123456789abcdeg"));
  CHECK_FALSE(IsJobId(""));
}

}  // namespace
}  // namespace thornplank::testing
