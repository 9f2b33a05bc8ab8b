// Verdicts by step and worker.
#include "workload/advice_cache.h"

#include <algorithm>

namespace thornplank {
namespace {

// The first question names no more: it is what the time for one decision is
// reckoned with (published).
constexpr size_t kFirstQuestion = 30;
// The service's own bound on one question (published).
constexpr size_t kLargestQuestion = 100;
// From the decision of a start until the worker has it: a record in the store
// and a call.
constexpr Milliseconds kTicketMargin{300};
// After a question without an answer: the service is busy or away.
constexpr Milliseconds kPause{250};

}  // namespace

std::optional<std::string> AdviceCache::FindTicket(const StepRef& step,
                                                   const std::string& worker,
                                                   Time now) const {
  const auto advice = steps_.find(step);
  if (advice == steps_.end()) return std::nullopt;
  const auto verdict = advice->second.verdicts.find(worker);
  if (verdict == advice->second.verdicts.end()) return std::nullopt;
  const bool usable = !verdict->second.ticket.empty() &&
                      now + kTicketMargin < verdict->second.until;
  if (!usable) return std::nullopt;
  return verdict->second.ticket;
}

std::vector<std::string> AdviceCache::NextQuery(
    const StepRef& step, const std::vector<std::string>& candidates, Time now) {
  std::vector<std::string> question;
  StepAdvice& advice = steps_[step];
  if (advice.query_pending || now < advice.next_query) return question;
  const size_t most =
      advice.verdicts.empty() ? kFirstQuestion : kLargestQuestion;
  for (const std::string& worker : candidates) {
    if (question.size() == most) break;
    const auto verdict = advice.verdicts.find(worker);
    const bool known =
        verdict != advice.verdicts.end() &&
        (verdict->second.ticket.empty() || FindTicket(step, worker, now));
    if (!known) question.push_back(worker);
  }
  advice.query_pending = !question.empty();
  return question;
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
  advice->second.next_query = now + kPause;
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
