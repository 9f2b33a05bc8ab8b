// Requests to the advisor and the handling of their answers.
#include "coordination/advice_requester.h"

#include <utility>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// The advisor handles the requests of one instance sequentially and rejects
// more than 32 in total. Successive leaders share that limit.
constexpr size_t kMaxRequests = 8;
// Added to the time that the advisor needs for the request and for those queued
// before it.
constexpr Milliseconds kResponseMargin{1000};

Time Now() { return std::chrono::steady_clock::now(); }

Milliseconds DecisionTimeFor(const AdviceTerms& terms, size_t workers) {
  return terms.query_time +
         terms.time_per_worker * static_cast<int64_t>(workers);
}

}  // namespace

AdviceRequester::AdviceRequester(Advisor* advisor,
                                 std::function<void()> on_change)
    : advisor_(advisor), on_change_(std::move(on_change)) {}

AdviceRequester::~AdviceRequester() { *alive_ = false; }

void AdviceRequester::Request(const StepRef& step, const AdviceTerms& terms,
                              const std::vector<std::string>& candidates) {
  if (advisor_ == nullptr || book_.pending_queries() >= kMaxRequests) return;
  const Time now = Now();
  std::vector<std::string> question = book_.NextQuery(step, candidates, now);
  if (question.empty()) return;
  const Milliseconds timeout =
      DecisionTimeFor(terms, question.size()) *
          static_cast<int64_t>(book_.pending_queries()) +
      kResponseMargin;
  advisor_->RequestAdvice(
      step, question, timeout,
      [this, alive = alive_, step, question, now](const Advice& advice) {
        if (*alive) OnAnswer(step, question, now, advice);
      });
}

void AdviceRequester::OnTicketRefused(const StepRef& step,
                                      const std::string& worker) {
  book_.OnTicketRefused(step, worker);
}

void AdviceRequester::OnAnswer(const StepRef& step,
                               const std::vector<std::string>& asked, Time sent,
                               const Advice& advice) {
  const auto took =
      std::chrono::duration_cast<Milliseconds>(Now() - sent).count();
  if (!advice.answered) {
    LogEvent(events::kAdviceMissing, advice.error,
             {{"job", step.job},
              {"step", step.ToString()},
              {"asked", asked.size()},
              {"took_ms", took}});
    return book_.OnQueryFailed(step, Now());
  }
  LogEvent(events::kAdviceGiven, {{"job", step.job},
                                  {"step", step.ToString()},
                                  {"asked", asked.size()},
                                  {"approved", advice.approved.size()},
                                  {"valid_ms", advice.validity.count()},
                                  {"took_ms", took}});
  book_.OnAnswer(step, asked, advice.approved, advice.validity, sent);
  on_change_();
}

}  // namespace thornplank
