// In-process fakes of the log service and of an executor, reached over HTTP.
#ifndef THORNPLANK_TESTS_REQUESTS_FAKE_UPSTREAMS_H_
#define THORNPLANK_TESTS_REQUESTS_FAKE_UPSTREAMS_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "net/http_server.h"

namespace thornplank::test {

enum class LogMode {
  kNormal,
  // Stores appended records but answers appends with an error.
  kLosesReplies,
  // Refuses appends and reads.
  kDown,
  // Stores appended records and confirms them; reads fail.
  kUnreadable,
  // Stores appended records but answers appends with an error; reads fail.
  kLosesRepliesUnreadable,
};

class FakeLog {
 public:
  explicit FakeLog(boost::asio::io_context& io)
      : server_(
            io, {},
            [this](HttpRequest request, const HttpServer::Responder& respond) {
              respond(request.method == "POST" ? Append(request)
                                               : Read(request));
            }) {
    Error error;
    REQUIRE(server_.Listen("127.0.0.1:0", &error));
  }

  std::string address() const { return server_.address(); }
  void Close() { server_.Close(); }

  void set_mode(LogMode mode) {
    std::lock_guard<std::mutex> lock(mutex_);
    mode_ = mode;
  }
  // Number of stored records of this kind with distinct ids.
  int CountRecords(const std::string& kind) const {
    std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, int> by_id;
    for (const Json& record : records_) {
      if (record["data"]["kind"] == kind) by_id[record["id"]] = 1;
    }
    return static_cast<int>(by_id.size());
  }
  // Number of append calls, failed ones included.
  int appends() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return appends_;
  }
  // Stores a record as if another client had appended it.
  void Add(const std::string& id, const Json& data) {
    std::lock_guard<std::mutex> lock(mutex_);
    Store(id, data);
  }

 private:
  static HttpResponse Reply(int status, const Json& body) {
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
  }

  void Store(const std::string& id, const Json& data) {
    const int64_t now = ToUnixMilliseconds(std::chrono::system_clock::now());
    records_.push_back({{"offset", records_.size()},
                        {"time_ms", now},
                        {"id", id},
                        {"data", data}});
  }

  HttpResponse Append(const HttpRequest& request) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++appends_;
    if (mode_ == LogMode::kDown) return Reply(503, Json::object());
    const size_t first = records_.size();
    const Json body = Json::parse(request.body);
    for (const Json& record : body["records"]) {
      Store(record["id"], record["data"]);
    }
    if (mode_ != LogMode::kNormal && mode_ != LogMode::kUnreadable) {
      return Reply(500, Json::object());
    }
    return Reply(200,
                 {{"first_offset", first}, {"next_offset", records_.size()}});
  }

  HttpResponse Read(const HttpRequest& request) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (mode_ != LogMode::kNormal && mode_ != LogMode::kLosesReplies) {
      return Reply(503, Json::object());
    }
    Json records = Json::array();
    for (size_t i = std::stoul(request.query("from")); i < records_.size();
         ++i) {
      records.push_back(records_[i]);
    }
    return Reply(200, {{"records", records},
                       {"first_offset", 0},
                       {"next_offset", records_.size()}});
  }

  mutable std::mutex mutex_;
  LogMode mode_ = LogMode::kNormal;
  std::vector<Json> records_;
  int appends_ = 0;
  HttpServer server_;
};

enum class ExecutorMode {
  kAnswers,
  // Runs the request and answers only in ReleaseHeldAnswers.
  kHoldsAnswers,
  // Refuses the request with the header that proves that it was not run.
  kRefuses,
  // Runs the request and answers with the id of another request.
  kWrongId,
  // Runs the request and answers 500.
  kFails,
};

class FakeExecutor {
 public:
  explicit FakeExecutor(boost::asio::io_context& io)
      : server_(io, {},
                [this](HttpRequest request, HttpServer::Responder respond) {
                  Handle(request, std::move(respond));
                }) {
    Error error;
    REQUIRE(server_.Listen("127.0.0.1:0", &error));
  }

  std::string address() const { return server_.address(); }
  void Close() { server_.Close(); }

  void set_mode(ExecutorMode mode) {
    std::lock_guard<std::mutex> lock(mutex_);
    mode_ = mode;
  }
  // Number of runs of requests with this idempotency key ("" for requests
  // without one).
  int runs(const std::string& key) const {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto found = runs_.find(key);
    return found == runs_.end() ? 0 : found->second;
  }
  // Sends the answers held in the mode kHoldsAnswers.
  void ReleaseHeldAnswers() {
    std::vector<std::pair<HttpRequest, HttpServer::Responder>> held;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      held.swap(held_);
    }
    for (const auto& [request, respond] : held) {
      respond(Answer(request, request.headers.Value("Thornplank-Request-Id")));
    }
  }

 private:
  static HttpResponse Answer(const HttpRequest& request,
                             const std::string& id) {
    HttpResponse response;
    response.headers.Set("Thornplank-Request-Id", id);
    response.headers.Set("Content-Type", "text/plain");
    response.body = "done: " + request.body;
    return response;
  }

  void Handle(const HttpRequest& request, HttpServer::Responder respond) {
    if (request.method == "GET") {
      respond(HttpResponse{});
      return;
    }
    const std::string id = request.headers.Value("Thornplank-Request-Id");
    std::lock_guard<std::mutex> lock(mutex_);
    HttpResponse response = Answer(request, id);
    if (mode_ == ExecutorMode::kRefuses) {
      response.status = 503;
      response.headers.Set("Thornplank-Not-Run", "1");
      respond(response);
      return;
    }
    ++runs_[request.headers.Value("Idempotency-Key")];
    if (mode_ == ExecutorMode::kHoldsAnswers) {
      held_.emplace_back(request, std::move(respond));
      return;
    }
    if (mode_ == ExecutorMode::kWrongId) response = Answer(request, "other");
    if (mode_ == ExecutorMode::kFails) response.status = 500;
    respond(response);
  }

  mutable std::mutex mutex_;
  ExecutorMode mode_ = ExecutorMode::kAnswers;
  std::map<std::string, int> runs_;
  std::vector<std::pair<HttpRequest, HttpServer::Responder>> held_;
  HttpServer server_;
};

}  // namespace thornplank::test

#endif  // THORNPLANK_TESTS_REQUESTS_FAKE_UPSTREAMS_H_
