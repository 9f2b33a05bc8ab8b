// Parses addresses and opens acceptors.
#include "standins/endpoints.h"

#include <charconv>

namespace thornplank::standins {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

std::optional<tcp::endpoint> ParseEndpoint(const std::string& address,
                                           Error* error) {
  size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    SetError(error, "parse address", address, "no port in the address");
    return std::nullopt;
  }
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  auto [stop, code] = std::from_chars(address.data() + colon + 1, end, port);
  error_code failed;
  auto ip = net::ip::make_address(address.substr(0, colon), failed);
  if (failed || code != std::errc() || stop != end) {
    SetError(error, "parse address", address, "not of the form ip:port");
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

std::string ToString(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

bool Listen(const tcp::endpoint& endpoint, tcp::acceptor* acceptor,
            Error* error) {
  constexpr int kBacklog = net::socket_base::max_listen_connections;
  error_code failed;
  acceptor->open(endpoint.protocol(), failed);
  if (!failed) acceptor->set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor->bind(endpoint, failed);
  if (!failed) acceptor->listen(kBacklog, failed);
  if (!failed) return true;
  SetError(error, "listen", ToString(endpoint), failed.message());
  acceptor->close(failed);
  return false;
}

}  // namespace thornplank::standins
