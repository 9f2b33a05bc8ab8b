// Converts endpoints to and from text, and opens listening sockets.
#ifndef THORNPLANK_TESTS_STANDINS_ENDPOINTS_H_
#define THORNPLANK_TESTS_STANDINS_ENDPOINTS_H_

#include <boost/asio.hpp>
#include <optional>
#include <string>

#include "base/error.h"

namespace thornplank::standins {

// Parses "ip:port"; sets `*error` on failure.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address, Error* error);

// "ip:port".
std::string ToString(const boost::asio::ip::tcp::endpoint& endpoint);

// Opens and binds `*acceptor` and starts to listen. Returns false and closes
// `*acceptor` on failure.
bool Listen(const boost::asio::ip::tcp::endpoint& endpoint,
            boost::asio::ip::tcp::acceptor* acceptor, Error* error);

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_ENDPOINTS_H_
