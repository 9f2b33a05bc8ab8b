// Measures the time and memory to rebuild the job table from all records of the
// stream and from a snapshot, for several numbers of tasks.
//
// Prints one JSON object per line. Times are medians of kRuns runs and include
// decoding the JSON text, as on a joining entry. Memory is the growth of the
// heap in use while one state is held.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "state/job_stream_state.h"

namespace thornplank {
namespace {

constexpr int kRuns = 7;
constexpr int kMembers = 4;
constexpr size_t kJobsPerPart = 100;

using EncodedRecords = std::vector<std::string>;

void AppendEncoded(const JobStreamRecord& record, EncodedRecords* encoded) {
  encoded->push_back(EncodeJobRecord(record).dump());
}

// Records of running gangs of kMembers tasks each: three per job, after one
// epoch record.
EncodedRecords MakeRecords(int tasks) {
  EncodedRecords encoded;
  AppendEncoded(EpochRecord{1, "e1", "1"}, &encoded);
  for (int i = 0; i < tasks / kMembers; ++i) {
    const std::string id = "job-" + std::to_string(i);
    const std::string gang = "1-" + std::to_string(i);
    JobRequest job;
    job.spec.id = id;
    job.spec.account = "account-" + std::to_string(i % 27);
    job.spec.shape = {kMembers, 1, Adjacency::kRack};
    job.task = {{"run_ms", 60000}};
    AppendEncoded(SubmittedRecord{job}, &encoded);
    PlacedRecord placed{1, 1, id, gang, {}};
    for (int member = 0; member < kMembers; ++member) {
      placed.members.push_back({"worker-" + std::to_string((i + member) % 1100),
                                gang + "-" + std::to_string(member), 1});
    }
    AppendEncoded(placed, &encoded);
    AppendEncoded(
        PhaseRecord{1, 2, id, JobPhase::kRunning, "all members confirmed"},
        &encoded);
  }
  return encoded;
}

std::unique_ptr<JobStreamState> ApplyRecords(const EncodedRecords& encoded,
                                             int64_t offset) {
  auto state = std::make_unique<JobStreamState>(JobRetention{});
  state->SkipLostRecords(offset);
  for (const std::string& text : encoded) {
    const std::optional<Json> data = ParseJson(text);
    if (!data) continue;
    state->Apply({offset, {}, "r" + std::to_string(offset), *data});
    ++offset;
  }
  return state;
}

EncodedRecords MakeSnapshotRecords(const JobStreamState& state) {
  EncodedRecords encoded;
  for (const auto& part : state.MakeSnapshot("s", kJobsPerPart)) {
    AppendEncoded(part, &encoded);
  }
  return encoded;
}

int64_t HeapKilobytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<int64_t>((info.uordblks + info.hblkhd) / 1024);
}

void Measure(const char* source, int tasks, const EncodedRecords& encoded,
             int64_t offset) {
  std::vector<double> times;
  int64_t memory = 0;
  size_t jobs = 0;
  for (int run = 0; run < kRuns; ++run) {
    const int64_t before = HeapKilobytes();
    const auto start = std::chrono::steady_clock::now();
    const auto state = ApplyRecords(encoded, offset);
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - start;
    times.push_back(elapsed.count());
    memory = HeapKilobytes() - before;
    jobs = state->jobs().jobs().size();
  }
  std::sort(times.begin(), times.end());
  size_t bytes = 0;
  for (const std::string& text : encoded) bytes += text.size();
  std::printf(
      "{\"source\":\"%s\",\"tasks\":%d,\"jobs\":%zu,\"records\":%zu,"
      "\"bytes\":%zu,\"median_ms\":%.2f,\"max_ms\":%.2f,\"memory_kb\":%lld}\n",
      source, tasks, jobs, encoded.size(), bytes, times[times.size() / 2],
      times.back(), static_cast<long long>(memory));
}

}  // namespace
}  // namespace thornplank

int main() {
  using thornplank::ApplyRecords;
  for (const int tasks : {1000, 5000, 11000}) {
    const auto records = thornplank::MakeRecords(tasks);
    const auto snapshot =
        thornplank::MakeSnapshotRecords(*ApplyRecords(records, 0));
    thornplank::Measure("records", tasks, records, 0);
    thornplank::Measure("snapshot", tasks, snapshot,
                        static_cast<int64_t>(records.size()));
  }
  return 0;
}
