// Asks the advisor about steps that wait for it, a few questions at a time.
#ifndef THORNPLANK_COORDINATION_ADVICE_REQUESTER_H_
#define THORNPLANK_COORDINATION_ADVICE_REQUESTER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "coordination/advisor.h"
#include "workload/advice_book.h"
#include "workload/job_definition.h"

namespace thornplank {

class AdviceRequester {
 public:
  // `advisor` may be null: then nothing is ever approved. `on_change` runs when
  // an answer may let tasks start.
  AdviceRequester(Advisor* advisor, std::function<void()> on_change);
  ~AdviceRequester();

  const AdviceBook& book() const { return book_; }
  // A step that waits, with the workers that might run it, best first.
  void Request(const StepRef& step, const AdviceTerms& terms,
               const std::vector<std::string>& candidates);
  void OnTicketRefused(const StepRef& step, const std::string& worker);
  // Steps that are still open; the rest is forgotten.
  void RetainOnly(const std::set<StepRef>& steps) { book_.Keep(steps); }

 private:
  void OnAnswer(const StepRef& step, const std::vector<std::string>& asked,
                Time sent, const Advice& advice);

  Advisor* const advisor_;
  const std::function<void()> on_change_;
  AdviceBook book_;
  // Callbacks that outlive this object do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_ADVICE_REQUESTER_H_
