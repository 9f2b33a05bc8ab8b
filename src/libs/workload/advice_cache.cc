// Verdicts of the advice service by step and worker.
#include "workload/advice_cache.h"

#include <algorithm>

namespace thornplank {
namespace {

// The first query about a step names at most this many workers: the published
// time for one decision is based on it.
constexpr size_t kFirstQuerySize = 30;
// The published limit of the service on workers in one query.
constexpr size_t kMaxQuerySize = 100;
// Time from the decision to start a task until the worker has the ticket: one
// record in the store and one call.
constexpr Milliseconds kTicketMargin{300};
// Delay before the next query after one that failed: the service is overloaded
// or unavailable.
constexpr Milliseconds kRetryDelay{250};

}  // namespace

std::optional<std::string> AdviceCache::FindTicket(const StepRef& step,
                                                   const std::string& worker,
                                                   Time now) const {
  const auto advice = steps_.find(step);
  if (advice == steps_.end()) return std::nullopt;
  const auto verdict = advice->second.verdicts.find(worker);
  if (verdict == advice->second.verdicts.end()) return std::nullopt;
  const bool usable = !verdict->second.ticket.empty() &&
                      now + kTicketMargin < verdict->second.expires;
  if (!usable) return std::nullopt;
  return verdict->second.ticket;
}

std::vector<std::string> AdviceCache::NextQuery(
    const StepRef& step, const std::vector<std::string>& candidates, Time now) {
  std::vector<std::string> query;
  StepAdvice& advice = steps_[step];
  if (advice.query_pending || now < advice.next_query) return query;
  const size_t max_size =
      advice.verdicts.empty() ? kFirstQuerySize : kMaxQuerySize;
  for (const std::string& worker : candidates) {
    if (query.size() == max_size) break;
    const auto verdict = advice.verdicts.find(worker);
    const bool known =
        verdict != advice.verdicts.end() &&
        (verdict->second.ticket.empty() || FindTicket(step, worker, now));
    if (!known) query.push_back(worker);
  }
  advice.query_pending = !query.empty();
  return query;
}

void AdviceCache::OnAnswer(const StepRef& step,
                           const std::vector<std::string>& asked,
                           const std::vector<ApprovedWorker>& approved,
                           Milliseconds validity, Time sent) {
  const auto advice = steps_.find(step);
  if (advice == steps_.end()) return;
  advice->second.query_pending = false;
  for (const std::string& worker : asked) {
    advice->second.verdicts[worker] = Verdict();
  }
  for (const ApprovedWorker& row : approved) {
    advice->second.verdicts[row.worker] = {row.ticket, sent + validity};
  }
}

void AdviceCache::OnQueryFailed(const StepRef& step, Time now) {
  const auto advice = steps_.find(step);
  if (advice == steps_.end()) return;
  advice->second.query_pending = false;
  advice->second.next_query = now + kRetryDelay;
}

void AdviceCache::OnTicketRefused(const StepRef& step,
                                  const std::string& worker) {
  const auto advice = steps_.find(step);
  if (advice != steps_.end()) advice->second.verdicts.erase(worker);
}

void AdviceCache::RetainOnly(const std::set<StepRef>& steps) {
  for (auto it = steps_.begin(); it != steps_.end();) {
    const auto current = it++;
    if (steps.count(current->first) == 0) steps_.erase(current);
  }
}

size_t AdviceCache::pending_queries() const {
  return static_cast<size_t>(
      std::count_if(steps_.begin(), steps_.end(),
                    [](const auto& row) { return row.second.query_pending; }));
}

}  // namespace thornplank
