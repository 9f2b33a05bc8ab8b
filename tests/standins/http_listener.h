// A small HTTP/1.1 server whose answers can go wrong on purpose.
//
// Every stand-in role owns one listener. The listener runs on one strand, and
// so does everything that a role does: a role needs no locks. An exchange can
// be answered in full, in half, never, or by closing its connection.
#ifndef THORNPLANK_TESTS_STANDINS_HTTP_LISTENER_H_
#define THORNPLANK_TESTS_STANDINS_HTTP_LISTENER_H_

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "base/time.h"
#include "standins/endpoints.h"

namespace thornplank::standins {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using Headers = std::vector<std::pair<std::string, std::string>>;

struct Reply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  Headers headers;
};

Reply JsonReply(const Json& body, int status = 200);
// Problem details (RFC 9457).
Reply ProblemReply(int status, const std::string& title);

// Runs `action` on `executor` after `delay`; at once in a later turn when it
// is zero or less.
void RunAfter(const boost::asio::any_io_executor& executor, Duration delay,
              std::function<void()> action);

class Session;

// One request and its outstanding answer. The first of Answer, AnswerHalf and
// Close counts; an exchange that is let go stays without an answer, and its
// connection stays open until the peer closes it.
class Exchange {
 public:
  Exchange(std::shared_ptr<Session> session, HttpRequest request);

  const HttpRequest& request() const { return request_; }
  const Session* session() const { return session_.get(); }
  // The target without its query.
  std::string path() const;
  // A number of the query, or `fallback` when absent or malformed.
  int64_t QueryNumber(const std::string& name, int64_t fallback) const;
  // A header field, "" when absent.
  std::string Header(const std::string& name) const;

  void Answer(Reply reply);
  // Sends the header and half of the body, then closes the connection.
  void AnswerHalf(Reply reply);
  // Closes the connection without an answer.
  void Close();

 private:
  std::shared_ptr<Session> session_;
  HttpRequest request_;
  bool done_ = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

class HttpListener {
 public:
  using Handler = std::function<void(ExchangePtr)>;

  // `executor` is a strand; `handler` runs on it. The listener must outlive
  // the run of its io_context.
  HttpListener(boost::asio::any_io_executor executor, Handler handler);
  ~HttpListener();

  // Binds and begins to accept; false with `*error` on failure.
  bool Open(const std::string& address, Error* error);
  // The bound "ip:port".
  std::string address() const;
  // Connections above this are closed at accept; 0 is no bound.
  void set_max_connections(size_t count) { max_connections_ = count; }
  size_t connections() const { return sessions_.size(); }
  // Closes every connection but the one of `kept` (may be null).
  void CloseConnections(const Session* kept);

  const boost::asio::any_io_executor& executor() const { return executor_; }

 private:
  friend class Session;

  void Accept();

  boost::asio::any_io_executor executor_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  size_t max_connections_ = 0;
  // Every open connection; a session leaves when it closes.
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_HTTP_LISTENER_H_
