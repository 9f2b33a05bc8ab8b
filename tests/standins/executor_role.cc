// Runs requests, refuses them, and applies the faults of an executor.
#include "standins/executor_role.h"

#include <xxhash.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace thornplank::standins {

namespace http = boost::beast::http;

namespace {

constexpr size_t kMaxRuns = 200000;
constexpr size_t kEchoBytes = 4096;
// A leaving executor still accepts new work for this long.
constexpr Milliseconds kLeavingGrace{2000};
// An answer that is held back to be swapped is sent unchanged after this time
// if no other answer follows.
constexpr Milliseconds kCrossTimeout{2000};
constexpr char kRequestId[] = "Thornplank-Request-Id";

std::string Digest(const std::string& body) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64,
                static_cast<uint64_t>(XXH64(body.data(), body.size(), 0)));
  return text;
}

bool ConsumeOne(int64_t* count) {
  if (*count <= 0) return false;
  --*count;
  return true;
}

}  // namespace

ExecutorRole::ExecutorRole(const boost::asio::any_io_executor& executor,
                           ExecutorSettings settings)
    : Role(executor), settings_(std::move(settings)) {
  listener().set_max_connections(
      static_cast<size_t>(settings_.max_connections));
}

Json ExecutorRole::Instance() const {
  return {
      {"name", settings_.name},  {"kind", "executor"},
      {"address", address()},    {"failure_domain", settings_.failure_domain},
      {"state", "live"},         {"service", settings_.service},
      {"slots", settings_.slots}};
}

void ExecutorRole::Handle(ExchangePtr exchange) {
  // The exchange is dropped without an answer.
  if (faults_.silent) return;
  if (exchange->request().method() == http::verb::get) {
    bool known = exchange->path() == "/healthz";
    return Send(exchange, known ? JsonReply({{"status", "ok"}})
                                : ProblemReply(404, "no such resource"));
  }
  if (exchange->request().method() != http::verb::post) {
    return Send(exchange, ProblemReply(405, "method not allowed"));
  }
  if (faults_.fail_fast) {
    return Send(exchange, ProblemReply(500, "fails at once"));
  }
  if (IsRefusingAsLeaving()) return Refuse(exchange, "leaving");
  if (busy_slots_ >= settings_.slots) return Refuse(exchange, "no free slot");
  StartRun(exchange);
}

bool ExecutorRole::IsRefusingAsLeaving() const {
  return leaving_since_ &&
         std::chrono::steady_clock::now() - *leaving_since_ >= kLeavingGrace;
}

void ExecutorRole::Refuse(const ExchangePtr& exchange,
                          const std::string& reason) {
  ++refused_requests_;
  Reply reply = ProblemReply(503, reason);
  reply.headers.emplace_back("Thornplank-Not-Run", "1");
  std::string id = exchange->Header(kRequestId);
  if (!id.empty()) reply.headers.emplace_back(kRequestId, id);
  Send(exchange, std::move(reply));
}

void ExecutorRole::StartRun(const ExchangePtr& exchange) {
  ++busy_slots_;
  int64_t run_number = ++runs_total_;
  runs_.push_back({exchange->Header(kRequestId),
                   exchange->Header("Idempotency-Key"),
                   Digest(exchange->request().body()),
                   ToUnixMilliseconds(std::chrono::system_clock::now())});
  if (runs_.size() > kMaxRuns) runs_.pop_front();
  RunAfter(executor(), settings_.service_time + faults_.extra_delay,
           [this, exchange, run_number] { FinishRun(exchange, run_number); });
}

void ExecutorRole::FinishRun(const ExchangePtr& exchange, int64_t run_number) {
  --busy_slots_;
  if (ConsumeOne(&faults_.close_after_request)) return exchange->Close();
  Reply reply = MakeAnswer(exchange, run_number);
  if (ConsumeOne(&faults_.truncate_next)) {
    return exchange->AnswerTruncated(std::move(reply));
  }
  if (held_answer_ || faults_.cross_next > 0) {
    return CrossAnswers({exchange, std::move(reply)});
  }
  Send(exchange, std::move(reply));
}

void ExecutorRole::CrossAnswers(HeldAnswer answer) {
  if (held_answer_) {
    HeldAnswer first = std::move(*held_answer_);
    held_answer_.reset();
    --faults_.cross_next;
    Send(first.exchange, std::move(answer.reply));
    Send(answer.exchange, std::move(first.reply));
    return;
  }
  held_answer_ = std::move(answer);
  RunAfter(executor(), kCrossTimeout,
           [this, exchange = held_answer_->exchange] {
             if (!held_answer_ || held_answer_->exchange != exchange) return;
             Reply reply = std::move(held_answer_->reply);
             held_answer_.reset();
             Send(exchange, std::move(reply));
           });
}

void ExecutorRole::Send(const ExchangePtr& exchange, Reply reply) {
  if (leaving_since_) reply.headers.emplace_back("Thornplank-Leaving", "1");
  exchange->Answer(std::move(reply));
}

Reply ExecutorRole::MakeAnswer(const ExchangePtr& exchange,
                               int64_t run_number) {
  std::string id = exchange->Header(kRequestId);
  Json body = {{"executor", settings_.name},
               {"request_id", id},
               {"echo", exchange->request().body().substr(0, kEchoBytes)},
               {"run", run_number}};
  if (ConsumeOne(&faults_.oversize_next)) {
    body["padding"] =
        std::string(static_cast<size_t>(faults_.oversize_bytes), 'x');
  }
  Reply reply = JsonReply(body);
  if (!id.empty()) reply.headers.emplace_back(kRequestId, id);
  return reply;
}

Json ExecutorRole::ControlState() {
  Json runs = Json::array();
  for (const Run& run : runs_) {
    runs.push_back({{"request_id", run.request_id},
                    {"key", run.key},
                    {"digest", run.digest},
                    {"time_ms", run.time_ms}});
  }
  return {
      {"executor", settings_.name}, {"runs", std::move(runs)},
      {"runs_total", runs_total_},  {"refused", refused_requests_},
      {"busy", busy_slots_},        {"connections", listener().connections()}};
}

bool ExecutorRole::ApplyControl(const Json& control, Error* error) {
  if (!HasOnlyFields(
          control,
          {"late_ms", "cross_next", "truncate_next", "fail_fast", "leaving",
           "silent", "close_after_request", "oversize_next", "oversize_bytes"},
          error)) {
    return false;
  }
  ReadField(control, "late_ms", &faults_.extra_delay);
  ReadField(control, "cross_next", &faults_.cross_next);
  ReadField(control, "truncate_next", &faults_.truncate_next);
  ReadField(control, "fail_fast", &faults_.fail_fast);
  ReadField(control, "silent", &faults_.silent);
  ReadField(control, "close_after_request", &faults_.close_after_request);
  ReadField(control, "oversize_next", &faults_.oversize_next);
  ReadField(control, "oversize_bytes", &faults_.oversize_bytes);
  faults_.oversize_bytes = std::max<int64_t>(faults_.oversize_bytes, 0);
  auto leaving = BoolField(control, "leaving");
  if (!leaving) return true;
  if (!*leaving) leaving_since_.reset();
  if (*leaving && !leaving_since_) {
    leaving_since_ = std::chrono::steady_clock::now();
  }
  return true;
}

}  // namespace thornplank::standins
