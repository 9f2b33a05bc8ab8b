// Caches which workers an external advice service has approved for each step.
//
// A worker that was rejected for a step stays rejected. An approved worker has
// a ticket, which every start on it must carry and which expires.
#ifndef THORNPLANK_WORKLOAD_ADVICE_CACHE_H_
#define THORNPLANK_WORKLOAD_ADVICE_CACHE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/task_ref.h"

namespace thornplank {

struct ApprovedWorker {
  std::string worker;
  std::string ticket;
};

class AdviceCache {
 public:
  // The ticket for a start that is decided now; nullopt where the worker was
  // rejected, was not asked about, or its ticket expires too soon to arrive in
  // time.
  std::optional<std::string> FindTicket(const StepRef& step,
                                        const std::string& worker,
                                        Time now) const;

  // Which of the candidates, ordered from best to worst, to ask about now.
  // Empty while a query about the step is pending or when the verdicts on all
  // of them are known. Otherwise marks a query as pending.
  std::vector<std::string> NextQuery(const StepRef& step,
                                     const std::vector<std::string>& candidates,
                                     Time now);
  // Records the answer to a query about the workers in `asked`, sent at `sent`;
  // tickets are valid for `validity` from then on.
  void OnAnswer(const StepRef& step, const std::vector<std::string>& asked,
                const std::vector<ApprovedWorker>& approved,
                Milliseconds validity, Time sent);
  // The query failed; the next one is allowed after a delay.
  void OnQueryFailed(const StepRef& step, Time now);
  // The worker refused its ticket; it is asked about again.
  void OnTicketRefused(const StepRef& step, const std::string& worker);

  // Drops all steps except these.
  void RetainOnly(const std::set<StepRef>& steps);
  size_t pending_queries() const;

 private:
  struct Verdict {
    // Empty where the worker was rejected.
    std::string ticket;
    // When the ticket expires.
    Time expires{};
  };
  struct StepAdvice {
    std::map<std::string, Verdict> verdicts;
    bool query_pending = false;
    Time next_query{};
  };

  std::map<StepRef, StepAdvice> steps_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_ADVICE_CACHE_H_
