// Requests placement advice for waiting steps from the advisor, with a bounded
// number of outstanding requests, and keeps the answers in an AdviceCache.
//
// Used on the loop of the scheduler only.
#ifndef THORNPLANK_COORDINATION_ADVICE_REQUESTER_H_
#define THORNPLANK_COORDINATION_ADVICE_REQUESTER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "coordination/advisor.h"
#include "workload/advice_cache.h"
#include "workload/job_definition.h"

namespace thornplank {

class AdviceRequester {
 public:
  // `advisor` may be null, in which case no worker is ever approved.
  // `on_change` runs when an answer may allow tasks to start.
  AdviceRequester(Advisor* advisor, std::function<void()> on_change);
  ~AdviceRequester();

  const AdviceCache& book() const { return book_; }
  // Requests advice for a waiting step. `candidates` are the workers that could
  // run it, best first.
  void Request(const StepRef& step, const AdviceTerms& terms,
               const std::vector<std::string>& candidates);
  void OnTicketRefused(const StepRef& step, const std::string& worker);
  // `steps` are those that still wait; what is known of all others is dropped.
  void RetainOnly(const std::set<StepRef>& steps) { book_.RetainOnly(steps); }

 private:
  void OnAnswer(const StepRef& step, const std::vector<std::string>& asked,
                Time sent, const Advice& advice);

  Advisor* const advisor_;
  const std::function<void()> on_change_;
  AdviceCache book_;
  // False once this object is destroyed; pending callbacks then do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_ADVICE_REQUESTER_H_
