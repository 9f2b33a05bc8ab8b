// The two calls of the log service, and the simulated faults.
#include "fake_log.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "api/api_router.h"
#include "base/time.h"

namespace thornplank {
namespace {

constexpr std::chrono::milliseconds kPollInterval(5);

HttpResponse MakeJsonResponse(int status, const Json& body) {
  return JsonResponse(status, body.dump());
}

}  // namespace

FakeLog::FakeLog(boost::asio::io_context& io)
    : io_(io),
      server_(io, HttpServerLimits(),
              [this](HttpRequest request, HttpServer::Responder respond) {
                Handle(std::move(request), std::move(respond));
              }) {
  server_.Listen("127.0.0.1:0", nullptr);
}

void FakeLog::SetDown(bool down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  down_ = down;
}

void FakeLog::LoseReplies(int count) {
  const std::lock_guard<std::mutex> lock(mutex_);
  replies_to_lose_ = count;
}

void FakeLog::HoldNextAppend() {
  const std::lock_guard<std::mutex> lock(mutex_);
  hold_next_append_ = true;
}

void FakeLog::ReleaseHeld() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const Json& body : held_appends_) AppendLocked(body);
  held_appends_.clear();
}

void FakeLog::Truncate(int64_t first_offset) {
  const std::lock_guard<std::mutex> lock(mutex_);
  while (first_offset_ < first_offset && !records_.empty()) {
    records_.pop_front();
    ++first_offset_;
  }
}

void FakeLog::Append(const std::string& id, Json data) {
  const std::lock_guard<std::mutex> lock(mutex_);
  AppendLocked({{"records", {{{"id", id}, {"data", std::move(data)}}}}});
}

int64_t FakeLog::next_offset() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return first_offset_ + static_cast<int64_t>(records_.size());
}

std::vector<Json> FakeLog::records() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Json> data;
  for (const Json& record : records_) data.push_back(record["data"]);
  return data;
}

int64_t FakeLog::AppendLocked(const Json& body) {
  const int64_t first = first_offset_ + static_cast<int64_t>(records_.size());
  for (const Json& record : body["records"]) {
    Json kept = record;
    kept["offset"] = first_offset_ + static_cast<int64_t>(records_.size());
    kept["time_ms"] = ToUnixMilliseconds(std::chrono::system_clock::now());
    records_.push_back(std::move(kept));
  }
  return first;
}

void FakeLog::Handle(HttpRequest request, HttpServer::Responder respond) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (down_) return respond(ProblemResponse(503, "outage", "simulated"));
  }
  if (request.method == "POST") return HandleAppend(request, respond);
  const int64_t from = std::stoll(request.query("from"));
  const int max_records = std::stoi(request.query("max"));
  const int wait_ms = std::stoi(request.query("wait_ms"));
  HandleRead(from, max_records,
             wait_ms / static_cast<int>(kPollInterval.count()),
             std::move(respond));
}

void FakeLog::HandleAppend(const HttpRequest& request,
                           const HttpServer::Responder& respond) {
  const Json body = ParseJson(request.body).value_or(Json());
  const std::lock_guard<std::mutex> lock(mutex_);
  if (std::exchange(hold_next_append_, false)) {
    held_appends_.push_back(body);
    unanswered_responders_.push_back(respond);
    return;
  }
  const int64_t first = AppendLocked(body);
  if (replies_to_lose_ > 0) {
    --replies_to_lose_;
    unanswered_responders_.push_back(respond);
    return;
  }
  const int64_t next = first + static_cast<int64_t>(body["records"].size());
  respond(
      MakeJsonResponse(200, {{"first_offset", first}, {"next_offset", next}}));
}

void FakeLog::HandleRead(int64_t from, int max_records, int polls_left,
                         HttpServer::Responder respond) {
  std::unique_lock<std::mutex> lock(mutex_);
  const int64_t next = first_offset_ + static_cast<int64_t>(records_.size());
  Json body = {{"first_offset", first_offset_}, {"next_offset", next}};
  if (down_) return respond(ProblemResponse(503, "outage", "simulated"));
  if (from < first_offset_) return respond(MakeJsonResponse(410, body));
  if (from >= next && polls_left > 0) {
    lock.unlock();
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(io_, kPollInterval);
    timer->async_wait(
        [this, from, max_records, polls_left, timer,
         respond = std::move(respond)](const boost::system::error_code& error) {
          if (error) return;
          HandleRead(from, max_records, polls_left - 1, respond);
        });
    return;
  }
  const int64_t end = std::min(next, from + max_records);
  body["records"] = Json::array();
  for (int64_t offset = from; offset < end; ++offset) {
    body["records"].push_back(records_[offset - first_offset_]);
  }
  respond(MakeJsonResponse(200, body));
}

}  // namespace thornplank
