// Time and memory to rebuild the job table, from every record of the stream
// and from a snapshot, at several numbers of tasks.
//
// Prints one JSON object a line; times are medians of `kRuns` runs, decoding
// of the JSON text included, as a joining entry does it. Memory is the
// growth of the bytes in use on the heap while one fold is held.
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

using Texts = std::vector<std::string>;

void Add(const JobStreamRecord& record, Texts* texts) {
  texts->push_back(EncodeJobRecord(record).dump());
}

// Running gangs of kMembers tasks each: three records a job, and one epoch.
Texts RecordsOf(int tasks) {
  Texts texts;
  Add(EpochRecord{1, "e1", "1"}, &texts);
  for (int i = 0; i < tasks / kMembers; ++i) {
    const std::string id = "job-" + std::to_string(i);
    const std::string gang = "1-" + std::to_string(i);
    JobRequest job;
    job.spec.id = id;
    job.spec.account = "account-" + std::to_string(i % 27);
    job.spec.shape = {kMembers, 1, Adjacency::kRack};
    job.task = {{"run_ms", 60000}};
    Add(SubmittedRecord{job}, &texts);
    PlacedRecord placed{1, 1, id, gang, {}};
    for (int member = 0; member < kMembers; ++member) {
      placed.members.push_back({"worker-" + std::to_string((i + member) % 1100),
                                gang + "-" + std::to_string(member), 1});
    }
    Add(placed, &texts);
    Add(PhaseRecord{1, 2, id, JobPhase::kRunning, "all members confirmed"},
        &texts);
  }
  return texts;
}

std::unique_ptr<JobStreamState> FoldTexts(const Texts& texts, int64_t offset) {
  auto fold = std::make_unique<JobStreamState>(JobRetention{});
  fold->SkipLostRecords(offset);
  for (const std::string& text : texts) {
    const std::optional<Json> data = ParseJson(text);
    if (!data) continue;
    fold->Apply({offset, {}, "r" + std::to_string(offset), *data});
    ++offset;
  }
  return fold;
}

Texts SnapshotOf(const JobStreamState& fold) {
  Texts texts;
  for (const auto& part : fold.MakeSnapshot("s", kJobsPerPart)) {
    Add(part, &texts);
  }
  return texts;
}

int64_t HeapKilobytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<int64_t>((info.uordblks + info.hblkhd) / 1024);
}

void Measure(const char* source, int tasks, const Texts& texts,
             int64_t offset) {
  std::vector<double> times;
  int64_t memory = 0;
  size_t jobs = 0;
  for (int run = 0; run < kRuns; ++run) {
    const int64_t before = HeapKilobytes();
    const auto start = std::chrono::steady_clock::now();
    const auto fold = FoldTexts(texts, offset);
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - start;
    times.push_back(took.count());
    memory = HeapKilobytes() - before;
    jobs = fold->jobs().jobs().size();
  }
  std::sort(times.begin(), times.end());
  size_t bytes = 0;
  for (const std::string& text : texts) bytes += text.size();
  std::printf(
      "{\"source\":\"%s\",\"tasks\":%d,\"jobs\":%zu,\"records\":%zu,"
      "\"bytes\":%zu,\"median_ms\":%.2f,\"max_ms\":%.2f,\"memory_kb\":%lld}\n",
      source, tasks, jobs, texts.size(), bytes, times[times.size() / 2],
      times.back(), static_cast<long long>(memory));
}

}  // namespace
}  // namespace thornplank

int main() {
  using thornplank::FoldTexts;
  for (const int tasks : {1000, 5000, 11000}) {
    const auto records = thornplank::RecordsOf(tasks);
    const auto snapshot = thornplank::SnapshotOf(*FoldTexts(records, 0));
    thornplank::Measure("records", tasks, records, 0);
    thornplank::Measure("snapshot", tasks, snapshot,
                        static_cast<int64_t>(records.size()));
  }
  return 0;
}
