// A blocking HTTP client for tests: one connection, calls with a timeout.
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
  // 0 when no whole answer came: refused, closed, truncated or timed out.
  int status = 0;
  // Null when the body is not JSON.
  Json body;
  std::map<std::string, std::string> headers;
  // Why no answer came.
  boost::system::error_code error;
};

class TestClient {
 public:
  // `address` is an "ip:port"; connects at the first call and again after a
  // call that brought no whole answer.
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
  // Runs the operation just begun to its end or its timeout.
  void RunToEnd();

  const std::string address_;
  Milliseconds timeout_{10000};
  boost::asio::io_context io_;
  boost::beast::tcp_stream stream_;
  bool connected_ = false;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_TEST_CLIENT_H_
