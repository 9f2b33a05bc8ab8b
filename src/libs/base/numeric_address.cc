// Validates addresses with inet_pton.
#include "base/numeric_address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>

namespace thornplank {
namespace {

constexpr int kMaxPort = 65535;
constexpr size_t kMaxPortDigits = 5;

bool IsPort(const std::string& text, int min_port) {
  if (text.empty() || text.size() > kMaxPortDigits) return false;
  const bool digits = std::all_of(text.begin(), text.end(), [](char c) {
    return std::isdigit(static_cast<unsigned char>(c)) != 0;
  });
  if (!digits) return false;
  const int port = std::stoi(text);
  return port >= min_port && port <= kMaxPort;
}

}  // namespace

bool IsNumericAddress(const std::string& text, int min_port) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  if (!IsPort(text.substr(colon + 1), min_port)) return false;
  std::string host = text.substr(0, colon);
  in_addr v4;
  if (inet_pton(AF_INET, host.c_str(), &v4) == 1) return true;
  if (host.size() < 2 || host.front() != '[' || host.back() != ']') {
    return false;
  }
  host = host.substr(1, host.size() - 2);
  in6_addr v6;
  return inet_pton(AF_INET6, host.c_str(), &v6) == 1;
}

}  // namespace thornplank
