// Parses and formats "ip:port".
#include "net/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace thornplank {
namespace {

constexpr int kMaxPort = 65535;

std::optional<int> ParsePort(const std::string& text) {
  int port = -1;
  const char* end = text.data() + text.size();
  const auto [last, code] = std::from_chars(text.data(), end, port);
  if (code != std::errc() || last != end) return std::nullopt;
  if (port < 0 || port > kMaxPort) return std::nullopt;
  return port;
}

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address, Error* error) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    SetError(error, "parse address", address, "expected ip:port");
    return std::nullopt;
  }
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code code;
  const auto ip = boost::asio::ip::make_address(host, code);
  const std::optional<int> port = ParsePort(address.substr(colon + 1));
  if (code || !port) {
    SetError(error, "parse address", address, "expected ip:port");
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, static_cast<uint16_t>(*port));
}

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  if (endpoint.address().is_v6()) return "[" + ip + "]:" + port;
  return ip + ":" + port;
}

}  // namespace thornplank
