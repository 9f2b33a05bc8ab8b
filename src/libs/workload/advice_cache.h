// Which workers may run a step, as far as an outside service has said.
//
// A worker that was turned down for a step stays so. One that was approved got
// a ticket, which each start must carry and which can be used for a while only.
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
  // The ticket for a start that is decided now; nullopt where the worker is
  // turned down, was not asked about, or its ticket is as good as over.
  std::optional<std::string> FindTicket(const StepRef& step,
                                        const std::string& worker,
                                        Time now) const;

  // Which of the candidates, best first, to ask about now. Empty while a
  // question about the step is out, or when all is known. Marks it as out.
  std::vector<std::string> NextQuery(const StepRef& step,
                                     const std::vector<std::string>& candidates,
                                     Time now);
  // `asked` was sent at `sent`; the tickets can be used for `validity` from
  // then on.
  void OnAnswer(const StepRef& step, const std::vector<std::string>& asked,
                const std::vector<ApprovedWorker>& approved,
                Milliseconds validity, Time sent);
  // The question failed; another may be asked after a pause.
  void OnQueryFailed(const StepRef& step, Time now);
  // A worker did not take its ticket.
  void OnTicketRefused(const StepRef& step, const std::string& worker);

  // Forgets all steps but those.
  void RetainOnly(const std::set<StepRef>& steps);
  size_t pending_queries() const;

 private:
  struct Verdict {
    // "" where turned down.
    std::string ticket;
    // Of the ticket.
    Time until{};
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
