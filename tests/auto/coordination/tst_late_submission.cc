// Cancellations of jobs whose submission is stored only afterwards, from the
// callers to the workers.
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include "caller_entry.h"
#include "coordinator_cluster.h"

namespace thornplank::testing {
namespace {

constexpr char kKey[] = "north-1";
constexpr char kOtherKey[] = "south-1";
// Of the caller whose submission is not answered.
constexpr Milliseconds kTimeout{400};
constexpr int kGone = 410;

// Why the submission is stored after the cancellation was answered.
enum class Delay {
  // The store carries the appends out late; the caller was told 504.
  kLateAppend,
  // The same, and the call is still open when they are carried out.
  kOpenCall,
  // The entry handles the call only afterwards, and has not read the board
  // since.
  kPausedEntry,
};

// Which entry decides on the job.
enum class Leader {
  kStays,
  // It takes over between the cancellation and the submission.
  kReplaced,
  // It reads both from a snapshot: the store has dropped its history.
  kReadsSnapshot,
};

struct Row {
  Delay delay;
  // The cancellation is sent to the entry that has the submission.
  bool same_entry;
  Leader leader;
};

std::vector<Row> Rows() {
  std::vector<Row> rows;
  for (const Leader leader :
       {Leader::kStays, Leader::kReplaced, Leader::kReadsSnapshot}) {
    for (const bool same_entry : {false, true}) {
      rows.push_back({Delay::kLateAppend, same_entry, leader});
      rows.push_back({Delay::kOpenCall, same_entry, leader});
    }
    rows.push_back({Delay::kPausedEntry, false, leader});
  }
  return rows;
}

class LateSubmission {
 public:
  LateSubmission() {
    cluster.Add("a");
    cluster.Add("b");
    REQUIRE(RunUntil(cluster.io, [this] { return cluster.leaders() == 1; }));
  }

  int Await(const std::shared_ptr<std::optional<CallAnswer>>& answer) {
    REQUIRE(RunUntil(cluster.io, [&] { return answer->has_value(); }));
    return (*answer)->response.status;
  }

  // Returns the entry that decides from now on; call Store() before it is used
  // if it reads a snapshot.
  void ChangeLeader(Leader leader) {
    if (leader == Leader::kReplaced) cluster.ReplaceLeader();
    if (leader == Leader::kReadsSnapshot) cluster.entries.clear();
  }

  void AddReaderOfSnapshot() {
    cluster.store.model.DropHistory();
    cluster.Add("c");
  }

  // Waits until the leader has published how the job ended.
  JobState AwaitEnd() {
    const auto published = [this] {
      const BoardJob* job = cluster.entries.back()->board().Find(kJob);
      return job == nullptr ? JobState::kQueued : job->published_state;
    };
    REQUIRE(RunUntil(cluster.io, [&] { return IsTerminal(published()); }));
    return published();
  }

  Cluster cluster;
  // Reads the board only when it must.
  CallerEntry lagging{cluster.io, cluster.store, kLongTime};
  CallerEntry other{cluster.io, cluster.store};
  const std::string target = std::string(kKeyed) + kJob;
};

// Guards against a job that runs though its caller was told that there is no
// such job: its submission was on its way when the cancellation was answered,
// and nothing bound it.
TEST_CASE("a submission that is stored after its cancellation never runs") {
  for (const Row& row : Rows()) {
    CAPTURE(static_cast<int>(row.delay));
    CAPTURE(row.same_entry);
    CAPTURE(static_cast<int>(row.leader));
    LateSubmission test;
    const auto submit = [&] {
      return test.lagging.Send("POST", test.target, kKey, kBody,
                               /*forwarded=*/false, kTimeout);
    };
    std::shared_ptr<std::optional<CallAnswer>> submitted;
    test.cluster.store.late_key = std::string("j") + kJob;
    if (row.delay != Delay::kPausedEntry) submitted = submit();
    if (row.delay == Delay::kLateAppend) CHECK(test.Await(submitted) == 504);
    CallerEntry& entry = row.same_entry ? test.lagging : test.other;
    CHECK(entry.Call("DELETE", test.target, kKey).response.status == kGone);

    test.ChangeLeader(row.leader);
    test.cluster.store.late_key.clear();
    test.cluster.store.CarryOutLateAppends();
    if (row.delay == Delay::kPausedEntry) submitted = submit();
    CHECK(test.Await(submitted) != 200);
    if (row.leader == Leader::kReadsSnapshot) test.AddReaderOfSnapshot();
    CHECK(test.AwaitEnd() == JobState::kCancelled);
    CHECK(test.cluster.RunCounts().empty());

    // The same id, submitted anew.
    test.other.AwaitBoard();
    const auto anew = test.other.Call("POST", test.target, kKey, kBody);
    CHECK(anew.response.status == 503);
    CHECK(test.other.Call("GET", test.target, kKey).response.body ==
          "cancelled");
    CHECK(test.cluster.RunCounts().empty());
  }
}

// Guards against an account that ends the job of another one, by cancelling its
// id before the submission is stored.
TEST_CASE("a cancellation binds no submission of another account") {
  for (const Leader leader :
       {Leader::kStays, Leader::kReplaced, Leader::kReadsSnapshot}) {
    CAPTURE(static_cast<int>(leader));
    LateSubmission test;
    CHECK(test.other.Call("DELETE", test.target, kOtherKey).response.status ==
          kGone);
    test.ChangeLeader(leader);
    const auto submitted = test.lagging.Call("POST", test.target, kKey, kBody);
    CHECK(submitted.response.status == 200);
    if (leader == Leader::kReadsSnapshot) test.AddReaderOfSnapshot();
    CHECK(test.AwaitEnd() == JobState::kCompleted);
    CHECK(test.cluster.CompletedRunCounts().size() == 2);
  }
}

// Guards against an answer that says that a job was accepted which never runs.
TEST_CASE("an id that was cancelled before it came is not accepted") {
  LateSubmission test;
  CHECK(test.other.Call("DELETE", test.target, kKey).response.status == kGone);
  test.other.AwaitBoard();
  const int64_t end = test.cluster.store.model.end(kBoard);
  const auto submitted = test.other.Call("POST", test.target, kKey, kBody);
  CHECK(submitted.response.status == 503);
  CHECK(submitted.response.headers.Value("Retry-After") != "");
  CHECK(test.other.Call("GET", test.target, kKey).response.status == kGone);
  test.other.AwaitBoard();
  CHECK(test.other.board().Find(kJob) == nullptr);
  CHECK(test.cluster.store.model.end(kBoard) >= end);
}

// Guards against a start of a job that a leader finds in a snapshot before it
// has read that the job was cancelled: the pages are in the order of keys, and
// both records were stored while they were read.
TEST_CASE("a snapshot shows no job without its earlier cancellation") {
  LateSubmission test;
  FakeRecordStore& store = test.cluster.store;
  // A page of its own before those with the job and its cancellation.
  test.cluster.Append(kBoard, {"a page", "value", 0});
  bool stored = false;
  store.page_size = 1;
  // Long enough for a planning round.
  store.page_latency = Milliseconds(40);
  store.after_page = [&](const NewestPage& page) {
    if (stored || page.records.empty()) return;
    if (page.records.back().key <= std::string("b") + kJob) return;
    stored = true;
    EarlyCancellation cancellation{kJob, {{"north"}, ""}, {}, 0};
    cancellation.requested = std::chrono::system_clock::now();
    test.cluster.Append(kBoard, EarlyCancellations::ToRecord(cancellation));
    JobDefinition job = MakeJob(kJob, {MakeStep(1, 1)});
    job.payload = R"({"work_ms":50})";
    test.cluster.Append(kBoard, JobBoard::Submission(job));
  };
  // Sorts before the job, so that its page does not contain both.
  test.cluster.Append(kBoard, JobBoard::Cancellation("00000000000000ff"));
  store.model.DropHistory();
  CHECK(test.AwaitEnd() == JobState::kCancelled);
  CHECK(stored);
  CHECK(test.cluster.RunCounts().empty());
}

// Guards against records of cancelled jobs that never come and stay for good.
TEST_CASE("the leader drops cancellations that have expired") {
  LateSubmission test;
  const auto add = [&](const std::string& job, std::chrono::seconds age) {
    EarlyCancellation cancellation{job, {{"north"}, ""}, {}, 0};
    cancellation.requested = std::chrono::system_clock::now() - age;
    test.cluster.Append(kBoard, EarlyCancellations::ToRecord(cancellation));
  };
  const std::string young = "00000000000000b1";
  const std::string old = "00000000000000b2";
  add(young, std::chrono::seconds(0));
  add(old, kEarlyCancellationTtl);
  const EarlyCancellations& known = test.other.board().early_cancellations();
  REQUIRE(RunUntil(test.cluster.io, [&] { return known.size() == 2; }));
  REQUIRE(RunUntil(test.cluster.io, [&] { return known.size() == 1; }));
  CHECK(known.FindFor(MakeJob(young, {MakeStep(1, 1)})) != nullptr);
  CHECK(known.FindFor(MakeJob(old, {MakeStep(1, 1)})) == nullptr);
}

}  // namespace
}  // namespace thornplank::testing
