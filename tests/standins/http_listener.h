// A small HTTP/1.1 server that can answer incorrectly on purpose.
//
// Every stand-in role owns one listener. The listener and all functions of the
// role run on one strand, so a role needs no locks. An exchange can be answered
// completely, be answered with a truncated body, stay unanswered, or have its
// connection closed.
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

// Runs `action` on `executor` after `delay`, and never before RunAfter returns;
// a delay of zero or less posts it at once.
void RunAfter(const boost::asio::any_io_executor& executor, Duration delay,
              std::function<void()> action);

class Session;

// One request and its outstanding answer. Only the first call of Answer,
// AnswerTruncated or Close has an effect. If an exchange is destroyed
// unanswered, its connection stays open until the peer closes it.
class Exchange {
 public:
  Exchange(std::shared_ptr<Session> session, HttpRequest request);

  const HttpRequest& request() const { return request_; }
  const Session* session() const { return session_.get(); }
  // The target without its query string.
  std::string path() const;
  // The integer parameter `name` of the query string, or `fallback` if it is
  // absent or malformed.
  int64_t QueryNumber(const std::string& name, int64_t fallback) const;
  // Value of a header field; "" if it is absent.
  std::string Header(const std::string& name) const;

  void Answer(Reply reply);
  // Sends the header and half of the body, then closes the connection.
  void AnswerTruncated(Reply reply);
  // Closes the connection without an answer.
  void Close();

 private:
  std::shared_ptr<Session> session_;
  HttpRequest request_;
  bool completed_ = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

class HttpListener {
 public:
  using Handler = std::function<void(ExchangePtr)>;

  // `executor` must be a strand; `handler` runs on it. The listener must not be
  // destroyed while its io_context runs.
  HttpListener(boost::asio::any_io_executor executor, Handler handler);
  ~HttpListener();

  // Binds and starts to accept connections. Returns false and sets `*error` on
  // failure.
  bool Open(const std::string& address, Error* error);
  // The bound "ip:port".
  std::string address() const;
  // Connections above this limit are closed as soon as they are accepted; 0
  // means no limit.
  void set_max_connections(size_t count) { max_connections_ = count; }
  size_t connections() const { return sessions_.size(); }
  // Closes all connections except that of `excluded`, which may be null.
  void CloseConnectionsExcept(const Session* excluded);

  const boost::asio::any_io_executor& executor() const { return executor_; }

 private:
  friend class Session;

  void Accept();

  boost::asio::any_io_executor executor_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  size_t max_connections_ = 0;
  // All open connections; a session removes itself when it closes.
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_HTTP_LISTENER_H_
