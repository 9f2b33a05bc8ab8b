// thornplank_load: sends open-loop load, records its history, and checks
// recorded histories.
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "history/history_checker.h"
#include "loadgen/job_load.h"
#include "loadgen/load_generator.h"
#include "loadgen/load_report.h"
#include "net/io_pool.h"

DEFINE_string(entries, "127.0.0.1:8001", "entries as ip:port,...");
DEFINE_string(entry_weights, "", "relative load per entry, as 8,1,1");
DEFINE_string(accounts, "north:north-secret:1",
              "senders as account:token:share,...");
DEFINE_string(service, "claims", "service that receives the requests");
DEFINE_bool(direct, false, "--entries names executors; measures direct calls");
DEFINE_double(rate, 100, "requests per second");
DEFINE_int32(duration_ms, 5000, "length of the steady load");
DEFINE_int32(burst, 0, "additional requests sent at once");
DEFINE_int32(burst_at_ms, 1000, "when the burst is sent, after the start");
DEFINE_double(non_idempotent_share, 0,
              "share of requests with an Idempotency-Key");
DEFINE_double(repeat_share, 0,
              "share of these sent to two entries at the same moment");
DEFINE_int32(deadline_ms, 2000, "deadline of each request");
DEFINE_int32(body_bytes, 200, "size of a request body");
DEFINE_int32(connections, 512, "maximum number of connections per entry");
DEFINE_int32(threads, 2, "threads that send and receive");
DEFINE_uint64(seed, 1, "random seed of the load");
DEFINE_string(name, "load", "part of every request or job id");
DEFINE_string(history, "", "file for the history, one JSON object per line");
DEFINE_string(out, "", "file for the JSON report");
DEFINE_double(jobs_rate, 0, "jobs per second, instead of requests");
DEFINE_int32(jobs_burst, 0, "jobs submitted at once, instead of requests");
DEFINE_int32(job_members, 1, "members of each job");
DEFINE_int32(job_accelerators, 1, "accelerators of each member");
DEFINE_string(job_adjacency, "none", "none or rack");
DEFINE_string(job_priority, "normal", "normal or urgent");
DEFINE_int32(job_run_ms, 500, "run time of each job");
DEFINE_int32(job_deadline_ms, 60000, "time after which a job is given up");
DEFINE_string(check, "",
              "checks these history files (comma-separated) instead of "
              "sending load; needs --runs");
DEFINE_string(runs, "", "file with the executors' runs, for --check");

namespace thornplank {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFaults = 1;
constexpr int kExitUsage = 2;

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, separator);) {
    items.push_back(item);
  }
  return items;
}

int Fail(const std::string& message) {
  std::cerr << "thornplank_load: " << message << "\n";
  return kExitUsage;
}

int Check() {
  Error error;
  std::vector<HistoryRecord> history;
  for (const std::string& path : Split(FLAGS_check, ',')) {
    const auto part = ReadHistory(path, &error);
    if (!part.has_value()) return Fail(error.ToString());
    history.insert(history.end(), part->begin(), part->end());
  }
  const auto runs = ReadRuns(FLAGS_runs, &error);
  if (!runs.has_value()) return Fail(error.ToString());
  const HistoryVerdict verdict = CheckHistory(history, *runs);
  std::cout << verdict.ToJson().dump(2) << "\n";
  return verdict.ok() ? kExitOk : kExitFaults;
}

bool ReadAccounts(LoadSettings* settings) {
  for (const std::string& text : Split(FLAGS_accounts, ',')) {
    const std::vector<std::string> parts = Split(text, ':');
    if (parts.size() != 3) return false;
    settings->accounts.push_back(
        {parts[0], parts[1], std::atof(parts[2].c_str())});
  }
  return !settings->accounts.empty();
}

bool ReadSettings(LoadSettings* settings) {
  settings->entries = Split(FLAGS_entries, ',');
  for (const std::string& weight : Split(FLAGS_entry_weights, ',')) {
    settings->entry_weights.push_back(std::atof(weight.c_str()));
  }
  settings->service = FLAGS_service;
  settings->direct = FLAGS_direct;
  settings->rate = FLAGS_rate;
  settings->duration = Milliseconds(FLAGS_duration_ms);
  settings->burst = FLAGS_burst;
  settings->burst_at = Milliseconds(FLAGS_burst_at_ms);
  settings->non_idempotent_share = FLAGS_non_idempotent_share;
  settings->repeat_share = FLAGS_repeat_share;
  settings->deadline = Milliseconds(FLAGS_deadline_ms);
  settings->body_bytes = static_cast<size_t>(FLAGS_body_bytes);
  settings->max_connections_per_entry = static_cast<size_t>(FLAGS_connections);
  settings->seed = FLAGS_seed;
  settings->name = FLAGS_name;
  return ReadAccounts(settings) && !settings->entries.empty();
}

void WriteHistory(const std::vector<HistoryRecord>& history) {
  if (FLAGS_history.empty()) return;
  std::ofstream file(FLAGS_history);
  for (const HistoryRecord& record : history) {
    file << ToJson(record).dump() << "\n";
  }
}

int LoadJobs() {
  LoadSettings common;
  if (!ReadSettings(&common)) {
    return Fail("--accounts takes account:token:share,...; see --help");
  }
  JobLoadSettings settings;
  settings.entries = common.entries;
  settings.account = common.accounts.front().account;
  settings.token = common.accounts.front().token;
  settings.rate = FLAGS_jobs_rate;
  settings.duration = common.duration;
  settings.burst = FLAGS_jobs_burst;
  settings.burst_at = common.burst_at;
  settings.members = FLAGS_job_members;
  settings.accelerators = FLAGS_job_accelerators;
  settings.adjacency = FLAGS_job_adjacency;
  settings.priority = FLAGS_job_priority;
  settings.run_time = Milliseconds(FLAGS_job_run_ms);
  settings.deadline = Milliseconds(FLAGS_job_deadline_ms);
  settings.name = FLAGS_name + "-" + std::to_string(FLAGS_seed);
  const std::vector<JobHistoryRecord> history = RunJobLoad(settings);
  if (!FLAGS_history.empty()) {
    std::ofstream file(FLAGS_history);
    for (const JobHistoryRecord& record : history) {
      file << ToJson(record).dump() << "\n";
    }
  }
  const Json report = SummarizeJobs(history);
  std::cout << report.dump(2) << "\n";
  if (!FLAGS_out.empty()) std::ofstream(FLAGS_out) << report.dump(2) << "\n";
  return kExitOk;
}

int Load() {
  LoadSettings settings;
  if (!ReadSettings(&settings)) {
    return Fail("--accounts takes account:token:share,...; see --help");
  }
  IoPool pool(FLAGS_threads);
  pool.Start();
  std::vector<HistoryRecord> history;
  {
    LoadGenerator generator(pool, settings);
    history = generator.Run();
  }
  pool.Stop();
  WriteHistory(history);
  const Json report = SummarizeHistory(history);
  std::cout << report.dump(2) << "\n";
  if (!FLAGS_out.empty()) std::ofstream(FLAGS_out) << report.dump(2) << "\n";
  return kExitOk;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "sends open-loop load to the services of entries; prints rates, "
      "percentiles and outcomes.\nexample: thornplank_load "
      "--entries=127.0.0.1:8001 "
      "--rate=200 --duration_ms=5000 --burst=400 --history=history.jsonl\n"
      "exit codes: 0 done, 1 the checker found faults, 2 invalid "
      "command line");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  if (!FLAGS_check.empty()) return thornplank::Check();
  if (FLAGS_jobs_rate > 0 || FLAGS_jobs_burst > 0) {
    return thornplank::LoadJobs();
  }
  return thornplank::Load();
}
