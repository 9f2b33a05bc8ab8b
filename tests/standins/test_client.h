// Blocking HTTP client for tests. It keeps one connection, and its calls have a
// timeout.
#ifndef THORNPLANK_TESTS_STANDINS_TEST_CLIENT_H_
#define THORNPLANK_TESTS_STANDINS_TEST_CLIENT_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <map>
#include <string>

#include "base/json.h"
#include "base/time.h"

namespace thornplank::standins {

struct TestAnswer {
  // 0 if no complete answer arrived: the connection was refused or closed, or
  // the answer was truncated or timed out.
  int status = 0;
  // Null if the body is not JSON.
  Json body;
  std::map<std::string, std::string> headers;
  // Why no complete answer arrived.
  boost::system::error_code error;
};

class TestClient {
 public:
  // `address` is an "ip:port". The client connects at the first call, and again
  // after a call without a complete answer or one after which the server closes
  // the connection.
  explicit TestClient(std::string address);

  TestAnswer Get(const std::string& target);
  TestAnswer Post(const std::string& target, const Json& body,
                  const std::map<std::string, std::string>& headers = {});
  void set_timeout(Milliseconds timeout) { timeout_ = timeout; }

 private:
  TestAnswer Call(const std::string& method, const std::string& target,
                  const std::string& body,
                  const std::map<std::string, std::string>& headers);
  bool Connect(boost::system::error_code* error);
  // Blocks until the operation just started completes or times out.
  void RunPendingOperation();

  const std::string address_;
  Milliseconds timeout_{10000};
  boost::asio::io_context io_;
  boost::beast::tcp_stream stream_;
  bool connected_ = false;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_TEST_CLIENT_H_
