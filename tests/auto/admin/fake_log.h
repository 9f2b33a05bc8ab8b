// In-process HTTP log service with a single stream, which simulates the faults
// that the tests of the settings need.
#ifndef THORNPLANK_TESTS_AUTO_ADMIN_FAKE_LOG_H_
#define THORNPLANK_TESTS_AUTO_ADMIN_FAKE_LOG_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "base/json.h"
#include "net/http_server.h"

namespace thornplank {

class FakeLog {
 public:
  explicit FakeLog(boost::asio::io_context& io);

  std::string address() const { return server_.address(); }
  void Close() { server_.Close(); }

  // Every call is answered with 503.
  void SetDown(bool down);
  // The next `count` appends are applied and never answered.
  void LoseReplies(int count);
  // The next append is never answered, and not applied until ReleaseHeld.
  void HoldNextAppend();
  // Applies the held append, as if it had been delayed on its way.
  void ReleaseHeld();
  // Removes all records before `first_offset`, as retention does.
  void Truncate(int64_t first_offset);
  // Appends a record without a request, also during an outage.
  void Append(const std::string& id, Json data);

  int64_t next_offset() const;
  // Data of the records that are not removed, oldest first.
  std::vector<Json> records() const;

 private:
  void Handle(HttpRequest request, HttpServer::Responder respond);
  void HandleAppend(const HttpRequest& request,
                    const HttpServer::Responder& respond);
  // Polls until records are there or no polls are left, then responds.
  void HandleRead(int64_t from, int max_records, int polls_left,
                  HttpServer::Responder respond);
  // Appends the records of a request and returns the offset of the first.
  // Requires that mutex_ is held.
  int64_t AppendLocked(const Json& body);

  boost::asio::io_context& io_;
  mutable std::mutex mutex_;
  std::deque<Json> records_;
  int64_t first_offset_ = 0;
  bool down_ = false;
  int replies_to_lose_ = 0;
  bool hold_next_append_ = false;
  std::vector<Json> held_appends_;
  // Kept, because a responder that is destroyed unused responds with an error.
  std::vector<HttpServer::Responder> unanswered_responders_;
  // Declared last, because its handler uses the members above.
  HttpServer server_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_AUTO_ADMIN_FAKE_LOG_H_
