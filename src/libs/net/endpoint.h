// Converts between "ip:port" text and Asio endpoints.
#ifndef THORNPLANK_NET_ENDPOINT_H_
#define THORNPLANK_NET_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include "base/error.h"

namespace thornplank {

// Parses "ip:port" or "[ip6]:port"; host names are not resolved. On failure
// `*error` has the step "parse address" and `address` as its peer.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address, Error* error);

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace thornplank

#endif  // THORNPLANK_NET_ENDPOINT_H_
