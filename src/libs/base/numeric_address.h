// Addresses of peers: a numeric IP with a port, never a name to look up.
#ifndef THORNPLANK_BASE_NUMERIC_ADDRESS_H_
#define THORNPLANK_BASE_NUMERIC_ADDRESS_H_

#include <string>

namespace thornplank {

// "10.0.0.1:80" or "[::1]:80", with a port of `min_port` or more.
bool IsNumericAddress(const std::string& text, int min_port = 1);

}  // namespace thornplank

#endif  // THORNPLANK_BASE_NUMERIC_ADDRESS_H_
