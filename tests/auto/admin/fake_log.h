// A log service in this process, over HTTP, with the faults that the tests of
// the settings need. One stream only.
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
  // The next append is neither applied nor answered before ReleaseHeld.
  void HoldNextAppend();
  // Applies what is held, as if it had been under way all the time.
  void ReleaseHeld();
  // Forgets everything before `first_offset`.
  void Truncate(int64_t first_offset);
  // Appends directly.
  void Append(const std::string& id, Json data);

  int64_t next_offset() const;
  // Data of the records that are kept, oldest first.
  std::vector<Json> records() const;

 private:
  void Handle(HttpRequest request, HttpServer::Responder respond);
  void HandleAppend(const HttpRequest& request,
                    const HttpServer::Responder& respond);
  void AnswerRead(int64_t from, int max_records, int polls_left,
                  HttpServer::Responder respond);
  int64_t ApplyLocked(const Json& body);

  boost::asio::io_context& io_;
  mutable std::mutex mutex_;
  std::deque<Json> records_;
  int64_t first_offset_ = 0;
  bool down_ = false;
  int replies_to_lose_ = 0;
  bool hold_next_ = false;
  std::vector<Json> held_;
  // Kept, because a responder that goes away unused answers with an error.
  std::vector<HttpServer::Responder> unanswered_;
  // Last: its handler uses what stands above.
  HttpServer server_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_AUTO_ADMIN_FAKE_LOG_H_
