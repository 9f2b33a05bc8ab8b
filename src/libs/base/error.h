// The error value of the project: what failed, at which step, at which peer.
//
// Functions that can fail return std::optional and take a trailing
// `Error* error`; on failure they return std::nullopt and fill it in. Objects
// that fail outside of a call keep the last Error and show it by
// `last_error()`.
#ifndef THORNPLANK_BASE_ERROR_H_
#define THORNPLANK_BASE_ERROR_H_

#include <string>

namespace thornplank {

struct Error {
  // The step that failed, in a few fixed words: "connect", "append".
  std::string step;
  // The peer at which it arose: an "ip:port", an instance name, or a file.
  // Empty only when no peer took part.
  std::string peer;
  // What went wrong, readable by an operator.
  std::string reason;

  // "step at peer: reason" in one line.
  std::string ToString() const;
};

// Fills `*error` when `error` is not null.
void SetError(Error* error, std::string step, std::string peer,
              std::string reason);

}  // namespace thornplank

#endif  // THORNPLANK_BASE_ERROR_H_
