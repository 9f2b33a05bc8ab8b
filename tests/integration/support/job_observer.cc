// Job requests and checks of lease histories.
#include "job_observer.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace thornplank {
namespace {

constexpr int kAccepted = 202;
constexpr Duration kTakeoverLimit = std::chrono::seconds(40);

bool Contains(const std::string& type, const std::set<std::string>& types) {
  return types.count(type) > 0;
}

// One gang member, from its start until its task ends or is paused.
struct MemberRun {
  int64_t start_ms = 0;
  std::optional<int64_t> end_ms;
  // The run ended by a failure, without being finished or stopped on order.
  bool lost = false;
};

struct GangRun {
  std::string job;
  std::set<std::string> granted;
  std::map<std::string, MemberRun> members;
  size_t granted_at_first_start = 0;
};

std::map<std::string, GangRun> ReadGangs(
    const std::vector<LeaseEvent>& history) {
  static const std::set<std::string> kEndTypes = {
      "checkpointing", "throttled", "finished", "failed",
      "stopped",       "lapsed",    "dropped"};
  static const std::set<std::string> kLossTypes = {"failed", "lapsed",
                                                   "dropped"};
  std::map<std::string, GangRun> gangs;
  for (const LeaseEvent& event : history) {
    GangRun& gang = gangs[event.gang_id];
    gang.job = event.job_id;
    if (event.type == "granted") gang.granted.insert(event.lease_id);
    if (event.type == "started") {
      if (gang.members.empty()) {
        gang.granted_at_first_start = gang.granted.size();
      }
      gang.members[event.lease_id].start_ms = event.time_ms;
    }
    const auto member = gang.members.find(event.lease_id);
    if (member == gang.members.end() || member->second.end_ms) continue;
    if (!Contains(event.type, kEndTypes)) continue;
    member->second.end_ms = event.time_ms;
    member->second.lost = Contains(event.type, kLossTypes);
  }
  return gangs;
}

void CheckSurvivors(const std::string& id, const GangRun& gang,
                    Milliseconds bound, std::string* violations) {
  std::optional<int64_t> lost_ms;
  for (const auto& [lease, member] : gang.members) {
    if (!member.lost) continue;
    lost_ms = std::min(lost_ms.value_or(*member.end_ms), *member.end_ms);
  }
  if (!lost_ms) return;
  for (const auto& [lease, member] : gang.members) {
    if (member.end_ms && *member.end_ms - *lost_ms <= bound.count()) continue;
    *violations += "member " + lease + " of gang " + id +
                   " kept running after another member was lost\n";
  }
}

bool Overlap(const GangRun& left, const GangRun& right) {
  for (const auto& [left_id, one] : left.members) {
    for (const auto& [right_id, other] : right.members) {
      const bool before = one.end_ms && *one.end_ms <= other.start_ms;
      const bool after = other.end_ms && *other.end_ms <= one.start_ms;
      if (!before && !after) return true;
    }
  }
  return false;
}

}  // namespace

JobObserver::JobObserver(TestCluster* cluster,
                         const TestClusterSettings& settings)
    : cluster_(cluster), settings_(settings) {}

Json JobObserver::MakeJob(const std::string& account, int members,
                          int accelerators, Milliseconds run) {
  return {{"name", "job"},
          {"account", account},
          {"members", members},
          {"accelerators", accelerators},
          {"run_time_ms", run.count()},
          {"task", {{"run_ms", run.count()}}}};
}

std::string JobObserver::Submit(int entry, const Json& job) {
  const auto response = cluster_->Call(entry, "POST", "/v1/jobs", job);
  if (!response.has_value() || response->status != kAccepted) return "";
  const Json answer = ParseJson(response->body).value_or(Json::object());
  const std::string id = StringField(answer, "id").value_or("");
  if (!id.empty()) {
    members_[id] = static_cast<int>(IntField(job, "members").value_or(1));
  }
  return id;
}

std::vector<std::string> JobObserver::SubmitMany(int entry, const Json& job,
                                                 int count) {
  std::vector<std::string> ids;
  ids.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) ids.push_back(Submit(entry, job));
  return ids;
}

Json JobObserver::Job(const std::string& id) {
  return cluster_->CallJson(AnyEntry(), "GET", "/v1/jobs/" + id);
}

std::string JobObserver::Phase(const std::string& id) {
  return StringField(Job(id), "phase").value_or("");
}

bool JobObserver::AwaitPhase(const std::string& id, const std::string& phase,
                             Duration limit) {
  return TestCluster::Eventually([&] { return Phase(id) == phase; }, limit);
}

bool JobObserver::AwaitPhases(const std::vector<std::string>& ids,
                              const std::string& phase, Duration limit) {
  return std::all_of(ids.begin(), ids.end(), [&](const std::string& id) {
    return AwaitPhase(id, phase, limit);
  });
}

int JobObserver::AwaitCoordinator(int former) {
  int found = -1;
  TestCluster::Eventually(
      [&] {
        for (int i = 0; i < settings_.entries; ++i) {
          if (i == former || !cluster_->entry(i).running()) continue;
          const Json status = cluster_->CallJson(i, "GET", "/v1/status");
          if (BoolField(status, "is_coordinator").value_or(false)) found = i;
        }
        return found >= 0;
      },
      kTakeoverLimit);
  return found;
}

std::vector<LeaseEvent> JobObserver::History() {
  std::vector<LeaseEvent> all;
  for (int i = 0; i < settings_.workers; ++i) {
    const Json state = cluster_->ControlState(cluster_->worker_address(i));
    const Json* history = ArrayField(state, "history");
    if (history == nullptr) continue;
    for (const Json& line : *history) {
      all.push_back({i, IntField(line, "time_ms").value_or(0),
                     StringField(line, "lease_id").value_or(""),
                     StringField(line, "gang_id").value_or(""),
                     StringField(line, "job_id").value_or(""),
                     StringField(line, "what").value_or("")});
    }
  }
  // Grants sort before other events of the same millisecond, because a gang
  // starts only when all of its members are granted.
  std::stable_sort(all.begin(), all.end(),
                   [](const LeaseEvent& left, const LeaseEvent& right) {
                     if (left.time_ms != right.time_ms) {
                       return left.time_ms < right.time_ms;
                     }
                     return left.type == "granted" && right.type != "granted";
                   });
  return all;
}

int JobObserver::Count(const std::string& job, const std::string& type) {
  const std::vector<LeaseEvent> history = History();
  return static_cast<int>(std::count_if(
      history.begin(), history.end(), [&](const LeaseEvent& event) {
        return event.job_id == job && event.type == type;
      }));
}

std::vector<int> JobObserver::WorkersOf(const std::string& job) {
  std::set<int> workers;
  for (const LeaseEvent& event : History()) {
    if (event.job_id == job && event.type == "granted") {
      workers.insert(event.worker);
    }
  }
  return {workers.begin(), workers.end()};
}

int64_t JobObserver::NewestEpoch(int worker) {
  const Json state = cluster_->ControlState(cluster_->worker_address(worker));
  const Json* token = ObjectField(state, "newest_token");
  return token == nullptr ? 0 : IntField(*token, "epoch").value_or(0);
}

std::string JobObserver::CheckGangs(Milliseconds bound) {
  std::string violations;
  const std::map<std::string, GangRun> gangs = ReadGangs(History());
  for (auto gang = gangs.begin(); gang != gangs.end(); ++gang) {
    const GangRun& run = gang->second;
    const auto size = members_.find(run.job);
    if (run.members.empty()) continue;
    if (size != members_.end() &&
        run.granted_at_first_start != static_cast<size_t>(size->second)) {
      violations += "gang " + gang->first + " started with " +
                    std::to_string(run.granted_at_first_start) +
                    " members granted\n";
    }
    CheckSurvivors(gang->first, run, bound, &violations);
    for (auto other = std::next(gang); other != gangs.end(); ++other) {
      if (other->second.job != run.job) continue;
      if (!Overlap(run, other->second)) continue;
      violations += "gangs " + gang->first + " and " + other->first +
                    " of job " + run.job + " ran at the same time\n";
    }
  }
  return violations;
}

int JobObserver::AnyEntry() {
  for (int i = 0; i < settings_.entries; ++i) {
    if (i != excluded_entry_ && cluster_->entry(i).running()) return i;
  }
  return 0;
}

}  // namespace thornplank
