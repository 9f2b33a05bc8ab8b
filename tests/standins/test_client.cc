// Sends the requests of the test client.
#include "standins/test_client.h"

#include <boost/beast/http.hpp>
#include <utility>

#include "standins/endpoints.h"

namespace thornplank::standins {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr uint64_t kMaxBodyBytes = 256 * 1024 * 1024;

}  // namespace

TestClient::TestClient(std::string address)
    : address_(std::move(address)), stream_(io_) {}

TestAnswer TestClient::Get(const std::string& target) {
  return Call("GET", target, "", {});
}

TestAnswer TestClient::Post(const std::string& target, const Json& body,
                            const std::map<std::string, std::string>& headers) {
  return Call("POST", target, body.dump(), headers);
}

TestAnswer TestClient::Call(const std::string& method,
                            const std::string& target, const std::string& body,
                            const std::map<std::string, std::string>& headers) {
  TestAnswer answer;
  if (!Connect(&answer.error)) return answer;
  http::request<http::string_body> request(http::string_to_verb(method), target,
                                           11);
  request.set(http::field::host, address_);
  for (const auto& [name, value] : headers) request.set(name, value);
  request.body() = body;
  request.prepare_payload();
  stream_.expires_after(timeout_);
  http::async_write(stream_, request, [&answer](error_code error, size_t) {
    answer.error = error;
  });
  RunPendingOperation();
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  if (!answer.error) {
    http::async_read(
        stream_, buffer, parser,
        [&answer](error_code error, size_t) { answer.error = error; });
    RunPendingOperation();
  }
  connected_ = !answer.error && parser.get().keep_alive();
  if (answer.error) return answer;
  answer.status = parser.get().result_int();
  answer.body = ParseJson(parser.get().body()).value_or(Json());
  for (const auto& field : parser.get()) {
    answer.headers[field.name_string().to_string()] = field.value().to_string();
  }
  return answer;
}

bool TestClient::Connect(error_code* error) {
  if (connected_) return true;
  auto endpoint = ParseEndpoint(address_, nullptr);
  if (!endpoint) return false;
  error_code ignored;
  stream_.socket().close(ignored);
  stream_.expires_after(timeout_);
  stream_.async_connect(*endpoint,
                        [error](error_code result) { *error = result; });
  RunPendingOperation();
  connected_ = !*error;
  return connected_;
}

void TestClient::RunPendingOperation() {
  io_.restart();
  io_.run();
}

}  // namespace thornplank::standins
