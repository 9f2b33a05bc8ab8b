// Which calls of callers reach a job, by the accounts of the call and of the
// job.
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "caller_entry.h"
#include "logging/event_log.h"

namespace thornplank::testing {
namespace {

constexpr char kJob[] = "00000000000000a1";
constexpr char kUnknownJob[] = "00000000000000a2";
constexpr char kLogPath[] = "caller-accounts.log";

using ConfigurationChange = std::function<void(ServingConfiguration*)>;

// One entry that answers callers, and the store.
class Service {
 public:
  Service() : store_(io_), entry_(io_, store_) {}

  // `forwarded`: the call comes from a gateway.
  CallAnswer Call(const std::string& method, const std::string& target,
                  const std::string& key, const std::string& body,
                  bool forwarded) {
    return entry_.Call(method, target, key, body, forwarded);
  }

  void AwaitBoard() { entry_.AwaitBoard(); }

  void Publish(JobState state) {
    AppendRequest request;
    request.partition = kBoardPartition;
    request.records = {
        JobBoard::State(kJob, state, FromUnixMilliseconds(1000000))};
    store_.model.Append(request);
    AwaitBoard();
  }

  JobState state() const { return entry_.board().Find(kJob)->state(); }
  int64_t board_end() const { return store_.model.end(kBoardPartition); }
  FakeRecordStore& store() { return store_; }
  std::string metrics() const { return entry_.metrics(); }
  ServingConfiguration& configuration() { return entry_.configuration; }

 private:
  boost::asio::io_context io_;
  FakeRecordStore store_;
  CallerEntry entry_;
};

// How a call relates to the job that it names.
struct Relation {
  const char* name;
  // The job's submission.
  const char* queue;
  const char* key;
  // The call.
  const char* call_queue;
  const char* call_key;
  // Of the configuration, between the two.
  ConfigurationChange change;
  // Whether the call reaches the job.
  bool allowed;
  // The accounts that the log names if it does not.
  const char* account = "";
  const char* owner = "";
};

void MakePublic(ServingConfiguration* configuration) {
  configuration->queues[0].is_public = true;
}

void MakeKeyed(ServingConfiguration* configuration) {
  configuration->queues[2].is_public = false;
}

std::vector<Relation> Relations() {
  const ConfigurationChange none = [](ServingConfiguration*) {};
  return {
      {"the same key", kKeyed, "north-1", kKeyed, "north-1", none, true},
      {"another key of the account", kKeyed, "north-1", kKeyed, "north-2", none,
       true},
      {"the account's key at another queue", kKeyed, "north-1", kOtherKeyed,
       "north-1", none, true},
      {"the submission's key is revoked and a new one added", kKeyed, "north-1",
       kKeyed, "north-3",
       [](ServingConfiguration* configuration) {
         configuration->accounts[0].keys = {"north-3"};
       },
       true},
      {"the key is also another account's, which comes first", kKeyed,
       "north-1", kKeyed, "north-1",
       [](ServingConfiguration* configuration) {
         configuration->accounts.insert(configuration->accounts.begin(),
                                        {"west", {"north-1"}, 0});
       },
       true},
      {"another account", kKeyed, "north-1", kKeyed, "south-1", none, false,
       "south", "north"},
      {"another account at another queue", kKeyed, "north-1", kOtherKeyed,
       "south-1", none, false, "south", "north"},
      {"the submission's key went to another account", kKeyed, "north-1",
       kKeyed, "north-1",
       [](ServingConfiguration* configuration) {
         configuration->accounts[0].keys = {"north-2"};
         configuration->accounts[1].keys = {"north-1"};
       },
       false, "south", "north"},
      {"the job's account left the configuration", kKeyed, "north-1", kKeyed,
       "south-1",
       [](ServingConfiguration* configuration) {
         configuration->accounts.erase(configuration->accounts.begin());
       },
       false, "south", "north"},
      {"no key, at a public queue that is not the job's", kKeyed, "north-1",
       kPublic, kNoKey, none, false, "", "north"},
      {"another account's key at a public queue that is not the job's", kKeyed,
       "north-1", kPublic, "south-1", none, false, "", "north"},
      {"no key, and the job's queue has become public", kKeyed, "north-1",
       kKeyed, kNoKey, MakePublic, true},
      {"a public job at its queue", kPublic, kNoKey, kPublic, kNoKey, none,
       true},
      {"a public job at another public queue", kPublic, kNoKey, kOtherPublic,
       kNoKey, none, true},
      {"a public job whose queue needs keys now", kPublic, kNoKey, kPublic,
       "south-1", MakeKeyed, true},
  };
}

struct CallerCall {
  const char* name;
  const char* method;
  const char* body;
};

constexpr CallerCall kCalls[] = {
    {"read", "GET", ""},
    {"cancel", "DELETE", ""},
    {"malformed submission", "POST", kMalformedBody},
    {"wrong method", "PUT", ""},
};

bool IsSame(const CallAnswer& left, const CallAnswer& right) {
  return left.response.status == right.response.status &&
         left.response.body == right.response.body &&
         left.response.headers.fields() == right.response.headers.fields() &&
         left.configuration == right.configuration &&
         left.try_next == right.try_next && left.store_lost == right.store_lost;
}

// A service with a job of this relation.
std::unique_ptr<Service> MakeService(const Relation& relation) {
  auto service = std::make_unique<Service>();
  const CallAnswer answer =
      service->Call("POST", std::string(relation.queue) + kJob, relation.key,
                    kBody, /*forwarded=*/false);
  REQUIRE(answer.response.status == 200);
  relation.change(&service->configuration());
  service->AwaitBoard();
  return service;
}

std::string ReadLog() {
  std::ifstream log(kLogPath);
  return std::string(std::istreambuf_iterator<char>(log), {});
}

bool CountsForeignCall(const Service& service, const std::string& method) {
  return service.metrics().find("thornplank_foreign_job_calls_total{method=\"" +
                                method + "\"} 1\n") != std::string::npos;
}

// Runs the check for calls of this entry's callers and for forwarded ones.
void ForEachRelation(
    bool allowed,
    const std::function<void(const Relation&, bool forwarded)>& check) {
  for (const Relation& relation : Relations()) {
    if (relation.allowed != allowed) continue;
    for (const bool forwarded : {false, true}) {
      CAPTURE(std::string(relation.name));
      CAPTURE(forwarded);
      check(relation, forwarded);
    }
  }
}

// Guards against a job that its own account can no longer read, cancel or
// submit again.
TEST_CASE("a job is served to its own account") {
  ForEachRelation(true, [](const Relation& relation, bool forwarded) {
    const std::unique_ptr<Service> service = MakeService(relation);
    const std::string target = std::string(relation.call_queue) + kJob;
    const auto call = [&](const char* method) {
      return service->Call(method, target, relation.call_key, kBody, forwarded)
          .response;
    };
    CHECK(call("GET").body == "queued");
    const int64_t end = service->board_end();
    CHECK(call("POST").status == 200);
    CHECK(service->board_end() == end);
    CHECK(call("DELETE").status == 200);
    CHECK(service->board_end() == end + 1);
    service->AwaitBoard();
    CHECK(call("GET").body == "cancelled");
    CHECK(service->metrics().find("foreign") == std::string::npos);
  });
}

// Guards against an account that learns that another account's job exists, or
// changes it: its call has the answer, the reads of the store and the writes of
// a call on an unknown job.
TEST_CASE("a call on another account's job is answered as on an unknown one") {
  Error error;
  ForEachRelation(false, [&](const Relation& relation, bool forwarded) {
    for (const JobState state : {JobState::kQueued, JobState::kCompleted}) {
      for (const CallerCall& call : kCalls) {
        CAPTURE(std::string(call.name));
        CAPTURE(std::string(ToText(state)));
        std::remove(kLogPath);
        REQUIRE(OpenEventLog("a", Severity::kInfo, LogWriter::kCallingThread,
                             kLogPath, &error));
        const std::unique_ptr<Service> service = MakeService(relation);
        if (state != JobState::kQueued) service->Publish(state);
        const int64_t end = service->board_end();
        const std::string queue = relation.call_queue;
        const auto make = [&](const std::string& job) {
          return service->Call(call.method, queue + job, relation.call_key,
                               call.body, forwarded);
        };
        const int reads_before = service->store().immediate_reads;
        const CallAnswer unknown = make(kUnknownJob);
        const int reads = service->store().immediate_reads - reads_before;
        // The cancellation of a job that may still come is stored.
        const int64_t stored = service->board_end() - end;
        CHECK(stored == (call.method == std::string("DELETE") ? 1 : 0));
        const CallAnswer foreign = make(kJob);
        CHECK(IsSame(foreign, unknown));
        CHECK(service->store().immediate_reads == reads_before + 2 * reads);
        CHECK(service->board_end() == end + 2 * stored);
        service->AwaitBoard();
        CHECK(service->state() == state);
        // Only calls that look for the job are logged and counted.
        const bool looks = foreign.response.status == 410;
        CHECK(looks == (call.method == std::string("GET") ||
                        call.method == std::string("DELETE")));
        CHECK(CountsForeignCall(*service, call.method) == looks);
        const std::string accounts = std::string("\"account\":\"") +
                                     relation.account + "\",\"owner\":\"" +
                                     relation.owner + "\"";
        const bool logged = ReadLog().find(accounts) != std::string::npos;
        CHECK(logged == looks);
        CloseEventLog();
      }
    }
  });
  std::remove(kLogPath);
}

// Guards against a submission that replaces another account's job or is told
// that it was accepted, and against an answer that tells that the id is taken.
TEST_CASE("a submission under another account's id is not accepted") {
  ForEachRelation(false, [](const Relation& relation, bool forwarded) {
    const std::unique_ptr<Service> service = MakeService(relation);
    const int64_t end = service->board_end();
    const std::string queue = relation.call_queue;
    const auto submit = [&](const std::string& job) {
      return service->Call("POST", queue + job, relation.call_key, kBody,
                           forwarded);
    };
    const CallAnswer foreign = submit(kJob);
    CHECK(foreign.response.status == 503);
    CHECK(!foreign.try_next);
    CHECK(service->board_end() == end);
    CHECK(CountsForeignCall(*service, "POST"));
    // The same as that of a submission which the store refuses.
    service->store().faults.assign(100, AppendFault::kRefused);
    CHECK(IsSame(submit(kUnknownJob), foreign));
  });
}

// Guards against an account that learns of another one's job by cancelling its
// id first.
TEST_CASE("after its own cancellation a submission is told the same") {
  ForEachRelation(false, [](const Relation& relation, bool forwarded) {
    const std::unique_ptr<Service> service = MakeService(relation);
    const std::string queue = relation.call_queue;
    const auto call = [&](const char* method, const char* job) {
      return service->Call(method, queue + job, relation.call_key, kBody,
                           forwarded);
    };
    for (const char* job : {kJob, kUnknownJob}) {
      CHECK(call("DELETE", job).response.status == 410);
    }
    service->AwaitBoard();
    const int64_t end = service->board_end();
    const CallAnswer foreign = call("POST", kJob);
    CHECK(foreign.response.status == 503);
    CHECK(CountsForeignCall(*service, "POST"));
    CHECK(IsSame(foreign, call("POST", kUnknownJob)));
    CHECK(service->board_end() == end);
    CHECK(service->state() == JobState::kQueued);
  });
}

// Guards against an answer that differs between an unknown job and another
// account's while the store is away.
TEST_CASE("without the store another account's job is like an unknown one") {
  ForEachRelation(false, [](const Relation& relation, bool forwarded) {
    const std::unique_ptr<Service> service = MakeService(relation);
    service->store().reachable = false;
    service->store().fails_at_once = true;
    const std::string queue = relation.call_queue;
    for (const char* method : {"GET", "DELETE"}) {
      CAPTURE(std::string(method));
      const auto call = [&](const char* job) {
        return service->Call(method, queue + job, relation.call_key, "",
                             forwarded);
      };
      const CallAnswer foreign = call(kJob);
      CHECK(foreign.response.status == 503);
      CHECK(IsSame(foreign, call(kUnknownJob)));
    }
  });
}

// The number of waiting jobs is the whole queue's, for all who may call there.
TEST_CASE("a queue's length counts the jobs of all accounts") {
  Service service;
  for (const bool forwarded : {false, true}) {
    const std::string job = forwarded ? kJob : kUnknownJob;
    const char* const key = forwarded ? "north-1" : "south-1";
    service.Call("POST", kKeyed + job, key, kBody, forwarded);
  }
  service.AwaitBoard();
  for (const char* key : {"north-1", "south-1"}) {
    CHECK(service.Call("GET", kKeyed, key, "", false).response.body == "2");
  }
}

}  // namespace
}  // namespace thornplank::testing
