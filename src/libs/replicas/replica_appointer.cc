// Choice of replicas.
#include "replicas/replica_appointer.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace thornplank {
namespace {

// Beyond those that are needed, so that an entry that does not answer costs no
// time.
constexpr size_t kSpareCandidates = 2;

ReplicaAddress ToReplica(const std::string& name, const EntryRecord& entry) {
  return {name, entry.address, entry.failure_domain};
}

bool Contains(const std::vector<ReplicaAddress>& replicas,
              const std::string& name) {
  return std::any_of(
      replicas.begin(), replicas.end(),
      [&name](const ReplicaAddress& replica) { return replica.name == name; });
}

int64_t CountInDomain(const std::vector<ReplicaAddress>& replicas,
                      const std::string& domain) {
  return std::count_if(replicas.begin(), replicas.end(),
                       [&domain](const ReplicaAddress& replica) {
                         return replica.failure_domain == domain;
                       });
}

}  // namespace

ReplicaAppointer::ReplicaAppointer(ReplicaAppointerSettings settings,
                                   ReplicaAddress own)
    : settings_(settings), own_(std::move(own)) {}

void ReplicaAppointer::OnAnswer(const std::string& entry, Time now) {
  answers_[entry] = {now, std::nullopt};
}

void ReplicaAppointer::OnNoAnswer(const std::string& entry, Time now) {
  Answers& answers = answers_[entry];
  if (!answers.silent_since) answers.silent_since = now;
}

bool ReplicaAppointer::HasAnswered(const std::string& entry, Time now) const {
  const auto answers = answers_.find(entry);
  return answers != answers_.end() && !answers->second.silent_since &&
         now - answers->second.last_answer <= settings_.answer_validity;
}

bool ReplicaAppointer::HasFailed(const std::string& entry, Time now) const {
  const auto answers = answers_.find(entry);
  return answers != answers_.end() && answers->second.silent_since &&
         now - *answers->second.silent_since >= settings_.failure_patience;
}

size_t ReplicaAppointer::WantedReplicas(const Entries& entries) const {
  const size_t by_size = (entries.size() + settings_.entries_per_replica - 1) /
                         settings_.entries_per_replica;
  return std::max(settings_.min_replicas, by_size);
}

std::vector<ReplicaAddress> ReplicaAppointer::KeptReplicas(
    const Entries& entries, const std::optional<ReplicaRoster>& current) const {
  std::vector<ReplicaAddress> kept = {own_};
  if (!current) return kept;
  for (const ReplicaAddress& replica : current->replicas) {
    if (replica.name == own_.name) continue;
    // Its record has the newest address. It may be missing for a while.
    const auto entry = entries.find(replica.name);
    kept.push_back(entry == entries.end()
                       ? replica
                       : ToReplica(replica.name, entry->second));
  }
  return kept;
}

std::vector<std::string> ReplicaAppointer::Candidates(
    const Entries& entries, const std::vector<ReplicaAddress>& replicas) const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : entries) {
    if (entry.address.empty() || Contains(replicas, name)) continue;
    names.push_back(name);
  }
  const auto key = [&](const std::string& name) {
    const EntryRecord& entry = entries.at(name);
    const auto rank_step =
        static_cast<int64_t>(entry.rank / settings_.min_rank_gain);
    return std::make_tuple(rank_step,
                           CountInDomain(replicas, entry.failure_domain),
                           std::hash<std::string>()(name));
  };
  std::sort(names.begin(), names.end(),
            [&key](const std::string& a, const std::string& b) {
              return key(a) < key(b);
            });
  return names;
}

std::vector<std::string> ReplicaAppointer::EntriesToAsk(
    const Entries& entries, const std::optional<ReplicaRoster>& current,
    Time now) const {
  const std::vector<ReplicaAddress> kept = KeptReplicas(entries, current);
  std::vector<std::string> names;
  size_t sound = 1;
  for (const ReplicaAddress& replica : kept) {
    if (replica.name == own_.name) continue;
    names.push_back(replica.name);
    if (!HasFailed(replica.name, now)) ++sound;
  }
  const size_t wanted = WantedReplicas(entries);
  const size_t missing = wanted > sound ? wanted - sound : 0;
  for (const std::string& name : Candidates(entries, kept)) {
    if (names.size() + 1 >= kept.size() + missing + kSpareCandidates) break;
    // One that failed just now is asked again only after a while.
    const auto answers = answers_.find(name);
    const bool silent = answers != answers_.end() &&
                        answers->second.silent_since && !HasFailed(name, now);
    if (!silent) names.push_back(name);
  }
  return names;
}

std::vector<ReplicaAddress> ReplicaAppointer::Decide(
    const Entries& entries, const std::optional<ReplicaRoster>& current,
    Time now) const {
  std::vector<ReplicaAddress> replicas = KeptReplicas(entries, current);
  const size_t wanted = WantedReplicas(entries);
  const auto rank_of = [&entries](const ReplicaAddress& replica) {
    const auto entry = entries.find(replica.name);
    return entry == entries.end() ? 1.0 : entry->second.rank;
  };
  // The one to give way: one that failed, else the last by rank.
  const auto worst = [&] {
    return std::max_element(
        replicas.begin() + 1, replicas.end(),
        [&](const ReplicaAddress& a, const ReplicaAddress& b) {
          return std::make_pair(HasFailed(a.name, now), rank_of(a)) <
                 std::make_pair(HasFailed(b.name, now), rank_of(b));
        });
  };
  while (replicas.size() > std::max<size_t>(wanted, 1)) {
    replicas.erase(worst());
  }
  // The candidates that may be appointed now are few; their order changes with
  // each one that is appointed.
  Entries answered;
  for (const auto& [name, entry] : entries) {
    if (HasAnswered(name, now)) answered.emplace(name, entry);
  }
  for (;;) {
    const std::vector<std::string> candidates = Candidates(answered, replicas);
    if (candidates.empty()) break;
    const std::string& name = candidates.front();
    const EntryRecord& entry = answered.at(name);
    if (replicas.size() < wanted) {
      replicas.push_back(ToReplica(name, entry));
      continue;
    }
    if (replicas.size() < 2) break;
    const auto weakest = worst();
    const bool failed = HasFailed(weakest->name, now);
    const bool better =
        entry.rank + settings_.min_rank_gain < rank_of(*weakest);
    if (!failed && !better) break;
    answered.erase(weakest->name);
    *weakest = ToReplica(name, entry);
  }
  return replicas;
}

}  // namespace thornplank
