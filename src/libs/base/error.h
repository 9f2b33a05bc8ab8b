// The error type of the project: which step failed, at which peer, and why.
//
// Functions that can fail return std::optional and take a trailing parameter
// `Error* error`; on failure they return std::nullopt and fill in `*error`.
// Objects that fail outside of a call keep the most recent Error, available as
// `last_error()`.
#ifndef THORNPLANK_BASE_ERROR_H_
#define THORNPLANK_BASE_ERROR_H_

#include <string>

namespace thornplank {

struct Error {
  // The step that failed, as a short fixed phrase: "connect", "append".
  std::string step;
  // The peer at which the error occurred: an "ip:port", an instance name, or a
  // file. Empty only when no peer was involved.
  std::string peer;
  // A description of the failure for operators.
  std::string reason;

  // Formats the error as "step at peer: reason" on one line.
  std::string ToString() const;
};

// Fills `*error` when `error` is not null.
void SetError(Error* error, std::string step, std::string peer,
              std::string reason);

}  // namespace thornplank

#endif  // THORNPLANK_BASE_ERROR_H_
