// The metrics have the format that scrapers expect, and agree with the records
// of callers and executors.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "hosted_cluster.h"
#include "metrics_text.h"

namespace thornplank {
namespace {

constexpr int kEntries = 3;
constexpr int kJobs = 12;
constexpr int kCallsWithUnknownKey = 7;

std::string JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", number + 1);
  return text;
}

class ScrapedCluster {
 public:
  ScrapedCluster() : cluster_(HostedClusterSettings()) {
    REQUIRE(cluster_.Start());
  }
  HostedCluster& cluster() { return cluster_; }

  void Scrape() {
    scraped_.clear();
    for (int i = 0; i < kEntries; ++i) {
      scraped_.emplace_back(cluster_.Metrics(i));
      for (const std::string& fault : scraped_.back().errors()) {
        FAIL_CHECK(fault);
      }
    }
  }
  // The sum over all entries.
  int Sum(const std::string& name,
          const std::map<std::string, std::string>& labels = {}) const {
    double sum = 0;
    for (const MetricsText& text : scraped_) {
      sum += text.Sum(name, labels);
    }
    return static_cast<int>(sum);
  }
  const MetricsText& first() const { return scraped_.front(); }

 private:
  HostedCluster cluster_;
  std::vector<MetricsText> scraped_;
};

int CountRuns(const std::vector<Json>& runs, const std::string& end) {
  return static_cast<int>(
      std::count_if(runs.begin(), runs.end(), [&](const Json& run) {
        return StringField(run, "how").value_or("") == end;
      }));
}

TEST_CASE("counters and histograms agree with callers and executors") {
  ScrapedCluster scraped;
  HostedCluster& cluster = scraped.cluster();
  std::vector<TestJob> jobs;
  for (int i = 0; i < kJobs; ++i) {
    TestJob job;
    job.id = JobId(i);
    job.priority = i % 3;
    job.work_ms = 100;
    job.steps[0].count = 1 + i % 4;
    job.steps[0].gang = i % 2 == 0;
    REQUIRE(HostedCluster::Eventually(
        [&] { return cluster.Submit(i % kEntries, job) == 200; }));
    jobs.push_back(job);
  }
  for (int i = 0; i < kCallsWithUnknownKey; ++i) {
    const auto answer = cluster.Call(
        i % kEntries, "GET", HostedCluster::QueuePrefix(1), "", "nobody's key");
    REQUIRE(answer.has_value());
    REQUIRE(answer->status == 401);
  }
  for (const TestJob& job : jobs) {
    CHECK(HostedCluster::Eventually(
        [&] { return cluster.State(0, job) == "completed"; }));
  }
  // A job is completed by the first end of its gang; the others follow.
  std::vector<Json> runs;
  REQUIRE(HostedCluster::Eventually([&] {
    runs = cluster.Runs();
    return CountRuns(runs, "done") == static_cast<int>(runs.size());
  }));
  const int started = static_cast<int>(runs.size());
  CHECK(HostedCluster::Eventually([&] {
    scraped.Scrape();
    return scraped.Sum("thornplank_job_seconds_count") == kJobs &&
           scraped.Sum("thornplank_runs_ended_total") == started;
  }));

  CHECK(scraped.Sum("thornplank_jobs_accepted_total") == kJobs);
  CHECK(scraped.Sum("thornplank_acknowledgement_seconds_count") == kJobs);
  CHECK(scraped.Sum("thornplank_refusals_total", {{"cause", "unknown_key"}}) ==
        kCallsWithUnknownKey);
  CHECK(scraped.Sum("thornplank_caller_answers_total", {{"status", "401"}}) ==
        kCallsWithUnknownKey);
  CHECK(scraped.Sum("thornplank_worker_calls_total",
                    {{"call", "start"}, {"outcome", "accepted"}}) == started);
  CHECK(scraped.Sum("thornplank_runs_ended_total", {{"end", "done"}}) ==
        CountRuns(runs, "done"));
  CHECK(scraped.Sum("thornplank_wait_seconds_count") == kJobs);
  CHECK(scraped.Sum("thornplank_job_seconds_count", {{"state", "completed"}}) ==
        kJobs);
  CHECK(scraped.Sum("thornplank_is_leader") == 1);
  CHECK(scraped.Sum("thornplank_accelerators", {{"use", "held"}}) == 0);
  CHECK(scraped.Sum("thornplank_accelerators", {{"use", "free"}}) == 48);
  CHECK(scraped.Sum("thornplank_tasks", {{"phase", "waiting"}}) == 0);
  CHECK(scraped.Sum("thornplank_store_calls_total",
                    {{"call", "append"}, {"outcome", "stored"}}) >= kJobs);
  CHECK(scraped.Sum("thornplank_log_lines_total") > kJobs);
  CHECK(scraped.Sum("thornplank_log_lines_lost_total") == 0);
}

TEST_CASE("every kind of metric is declared with its type") {
  ScrapedCluster scraped;
  scraped.Scrape();
  struct Row {
    const char* name;
    const char* type;
  };
  const std::vector<Row> rows = {
      {"thornplank_jobs_accepted_total", "counter"},
      {"thornplank_acknowledgement_seconds", "histogram"},
      {"thornplank_store_calls_total", "counter"},
      {"thornplank_store_call_seconds", "histogram"},
      {"thornplank_is_leader", "gauge"},
      {"thornplank_lead_epoch", "gauge"},
      {"thornplank_tasks", "gauge"},
      {"thornplank_accelerators", "gauge"},
      {"thornplank_fragmentation", "gauge"},
      {"thornplank_log_lines_lost_total", "counter"},
      {"process_resident_memory_bytes", "gauge"},
      {"process_cpu_seconds_total", "counter"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto& types = scraped.first().types();
    REQUIRE(types.count(row.name) == 1);
    CHECK(types.at(row.name) == row.type);
  }
}

}  // namespace
}  // namespace thornplank
