// Validates peer addresses: a numeric IP with a port, never a host name.
#ifndef THORNPLANK_BASE_NUMERIC_ADDRESS_H_
#define THORNPLANK_BASE_NUMERIC_ADDRESS_H_

#include <string>

namespace thornplank {

// Whether `text` has the form "10.0.0.1:80" or "[::1]:80" with a port of at
// least `min_port`.
bool IsNumericAddress(const std::string& text, int min_port = 1);

}  // namespace thornplank

#endif  // THORNPLANK_BASE_NUMERIC_ADDRESS_H_
