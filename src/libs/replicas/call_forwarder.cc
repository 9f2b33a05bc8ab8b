// Attempts at one call, one after the other and side by side.
#include "replicas/call_forwarder.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "logging/events/coordination_events.h"
#include "net/problem_response.h"
#include "workload/job_definition.h"

namespace thornplank {
namespace {

constexpr int kUnavailable = 503;
constexpr int kOutcomeUnknown = 504;
constexpr int kGone = 410;

Time Now() { return std::chrono::steady_clock::now(); }

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// The id of the job at the end of the path; "" if there is none.
std::string JobOf(const HttpRequest& request) {
  const std::string path = request.path();
  const std::string last = path.substr(path.rfind('/') + 1);
  return IsJobId(last) ? last : "";
}

}  // namespace

struct CallForwarder::Call {
  explicit Call(boost::asio::io_context& io) : hedge_timer(io) {}

  struct Attempt {
    std::string address;
    Time sent{};
    bool answered = false;
  };

  ForwardedCall forwarded;
  HttpServer::Responder respond;
  // The call changes the board.
  bool writes = false;
  Time received{};
  Time deadline{};
  // The replicas to ask in this round, and how many of them were asked.
  std::vector<std::string> replicas;
  size_t asked = 0;
  // Of all rounds.
  std::vector<Attempt> attempts;
  size_t outstanding = 0;
  // An attempt without an answer may have changed the board.
  bool may_be_stored = false;
  // What a replica that did not serve the call has answered.
  std::optional<HttpResponse> refusal;
  // Any replica has answered.
  bool any_answer = false;
  // A replica has answered that it has lost the store.
  bool store_lost = false;
  bool done = false;
  boost::asio::steady_timer hedge_timer;
};

CallForwarder::CallForwarder(boost::asio::io_context& io, EntryCalls& calls,
                             EntryClientInterface& checks,
                             const Formats& formats, ReplicaSelector& selector,
                             CallForwarderSettings settings, Handlers handlers,
                             MetricsRegistry& metrics)
    : io_(io),
      calls_(calls),
      checks_(checks),
      formats_(formats),
      selector_(selector),
      settings_(settings),
      handlers_(std::move(handlers)),
      metrics_(metrics),
      latency_(metrics.histogram("thornplank_forward_seconds",
                                 "From a whole call to its answer, of calls "
                                 "that were forwarded to a replica.")) {}

CallForwarder::~CallForwarder() { *alive_ = false; }

void CallForwarder::Forward(HttpRequest request,
                            HttpServer::Responder respond) {
  auto call = std::make_shared<Call>(io_);
  call->received = Now();
  const Milliseconds stated = formats_.ReadHeaders(request).timeout;
  const Milliseconds timeout =
      stated.count() > 0 ? stated : settings_.default_timeout;
  call->deadline = call->received + timeout - settings_.response_margin;
  call->writes = request.method == "POST" || request.method == "DELETE";
  call->forwarded.request = std::move(request);
  call->respond = std::move(respond);
  BeginRound(call);
}

void CallForwarder::BeginRound(const std::shared_ptr<Call>& call) {
  const auto preference =
      call->writes ? ReplicaPreference::kLeader : ReplicaPreference::kNearest;
  call->replicas = selector_.Order(preference, Now());
  call->asked = 0;
  if (call->replicas.size() > settings_.max_attempts) {
    call->replicas.resize(settings_.max_attempts);
  }
  Continue(call);
}

void CallForwarder::Attempt(const std::shared_ptr<Call>& call) {
  const Time now = Now();
  const size_t number = call->attempts.size();
  const std::string& address = call->replicas[call->asked++];
  call->attempts.push_back({address, now, false});
  ++call->outstanding;
  call->forwarded.min_configuration = newest_configuration_;
  call->forwarded.time_left =
      std::max(std::chrono::duration_cast<Milliseconds>(call->deadline - now),
               Milliseconds(1));
  ScheduleHedge(call, selector_.HedgeDelay());
  calls_.Forward(address, call->forwarded, call->forwarded.time_left,
                 [this, alive = alive_, call, number](ForwardResult result) {
                   if (*alive) OnResult(call, number, std::move(result));
                 });
}

void CallForwarder::ScheduleHedge(const std::shared_ptr<Call>& call,
                                  Milliseconds delay) {
  if (call->asked >= call->replicas.size()) return;
  call->hedge_timer.expires_after(delay);
  call->hedge_timer.async_wait(
      [this, alive = alive_, call](const boost::system::error_code& code) {
        if (!code && *alive && !call->done) Hedge(call);
      });
}

void CallForwarder::Hedge(const std::shared_ptr<Call>& call) {
  if (!call->writes) return Attempt(call);
  const size_t asked = call->attempts.size();
  checks_.FetchStoreAge(
      call->attempts.back().address, settings_.check_timeout,
      [this, alive = alive_, call, asked](std::optional<Milliseconds> age) {
        // Another attempt may have begun meanwhile.
        if (!*alive || call->done || call->attempts.size() != asked) return;
        const bool works = age && *age <= settings_.max_store_age;
        if (works) return ScheduleHedge(call, settings_.check_interval);
        Attempt(call);
      });
}

void CallForwarder::OnResult(const std::shared_ptr<Call>& call, size_t attempt,
                             ForwardResult result) {
  Call::Attempt& state = call->attempts[attempt];
  state.answered = true;
  --call->outstanding;
  if (!result.answer) {
    selector_.OnFailure(state.address, Now());
    call->may_be_stored =
        call->may_be_stored || (call->writes && result.may_have_arrived);
    if (!call->done) Continue(call);
    return;
  }
  if (result.answer->try_next) {
    selector_.OnFailure(state.address, Now());
  } else {
    selector_.OnAnswer(state.address, Now() - state.sent);
  }
  newest_configuration_ =
      std::max(newest_configuration_, result.answer->configuration);
  call->any_answer = true;
  call->store_lost = call->store_lost || result.answer->store_lost;
  if (!call->done) OnAnswer(call, std::move(*result.answer));
}

void CallForwarder::OnAnswer(const std::shared_ptr<Call>& call,
                             CallAnswer answer) {
  const int status = answer.response.status;
  if (status == kOutcomeUnknown) call->may_be_stored = call->writes;
  const bool undecided = status == kOutcomeUnknown || answer.try_next;
  const bool settles = IsSuccess(status) || status == kGone;
  // A refusal of a change settles the call only if no other attempt can have
  // made it.
  const bool others_open =
      call->writes && (call->outstanding > 0 || call->may_be_stored);
  if (settles || (!undecided && !others_open)) {
    return Finish(call, std::move(answer.response));
  }
  call->refusal = std::move(answer.response);
  Continue(call);
}

void CallForwarder::Continue(const std::shared_ptr<Call>& call) {
  const bool has_time = Now() < call->deadline;
  if (has_time && call->asked < call->replicas.size()) {
    return Attempt(call);
  }
  if (call->outstanding > 0) return;
  if (MayHold(*call)) return Hold(call);
  Finish(call, Unserved(*call));
}

// A refusal by a replica that has lost the store is passed on at once: nobody
// knows when the store is back.
bool CallForwarder::MayHold(const Call& call) const {
  const Time again = Now() + settings_.hold_delay;
  return !call.store_lost && held_ < settings_.max_held &&
         again < call.received + settings_.max_hold && again < call.deadline;
}

void CallForwarder::Hold(const std::shared_ptr<Call>& call) {
  ++held_;
  call->hedge_timer.expires_after(settings_.hold_delay);
  call->hedge_timer.async_wait(
      [this, alive = alive_, call](const boost::system::error_code&) {
        if (!*alive) return;
        --held_;
        BeginRound(call);
      });
}

HttpResponse CallForwarder::Unserved(const Call& call) const {
  if (call.may_be_stored) {
    return ProblemResponse(kOutcomeUnknown, {"forward", "replica",
                                             "no replica has answered whether "
                                             "the change was stored"});
  }
  if (call.refusal) return *call.refusal;
  HttpResponse response = ProblemResponse(
      kUnavailable, {"forward", "replica", "no replica answers"});
  const auto wait =
      handlers_.is_isolated() ? std::chrono::seconds(0) : settings_.retry_after;
  response.headers.Set("Retry-After", std::to_string(wait.count()));
  return response;
}

void CallForwarder::Finish(const std::shared_ptr<Call>& call,
                           HttpResponse response) {
  call->done = true;
  call->hedge_timer.cancel();
  const Time now = Now();
  // Replicas that were overtaken by one that was asked later.
  for (const Call::Attempt& attempt : call->attempts) {
    if (!attempt.answered) selector_.OnFailure(attempt.address, now);
  }
  latency_.Observe(now - call->received);
  metrics_
      .counter("thornplank_forwarded_calls_total",
               "Calls that were forwarded to a replica, by the answer.",
               {{"status", std::to_string(response.status)}})
      .Add();
  LogCall(*call, response.status);
  call->respond(std::move(response));
  if (call->any_answer) return handlers_.on_answered();
  handlers_.on_silent();
}

void CallForwarder::LogCall(const Call& call, int status) const {
  const bool notable =
      call.writes || !IsSuccess(status) || call.attempts.size() > 1;
  std::vector<std::string> asked;
  for (const Call::Attempt& attempt : call.attempts) {
    asked.push_back(attempt.address);
  }
  const auto took =
      std::chrono::duration_cast<Milliseconds>(Now() - call.received);
  LogEvent(notable ? events::kCallForwarded : events::kReadForwarded,
           {{"job", JobOf(call.forwarded.request)},
            {"method", call.forwarded.request.method},
            {"status", status},
            {"replicas", asked},
            {"took_ms", took.count()},
            {"configuration", newest_configuration_}});
}

}  // namespace thornplank
