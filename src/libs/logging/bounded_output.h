// Writes lines to a descriptor that may be full, unread or closed.
//
// A pipe that nobody reads blocks its writer. This one waits a bounded time
// for room, once, and then drops whole lines until there is room again.
#ifndef THORNPLANK_LOGGING_BOUNDED_OUTPUT_H_
#define THORNPLANK_LOGGING_BOUNDED_OUTPUT_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace thornplank {

// Lines come from one thread at a time; the counts may be read from any.
class BoundedOutput {
 public:
  // Waits `patience` for room when a line before found some, else not at all.
  // Does not own `descriptor`. The process must ignore SIGPIPE.
  BoundedOutput(int descriptor, Milliseconds patience);

  // `line` ends with a newline. It is written whole, now or with a later call,
  // or not at all.
  void Write(std::string_view line);

  uint64_t written_lines() const { return written_lines_; }
  uint64_t written_bytes() const { return written_bytes_; }
  uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  enum class Result { kWritten, kFull, kClosed };

  // Writes as much of `text` as there is room for and takes it off.
  Result WriteSome(std::string_view* text, Milliseconds patience);
  bool WaitForRoom(Milliseconds patience) const;

  const int descriptor_;
  const Milliseconds patience_;
  // Files always have room, so that they are not asked.
  const bool may_be_full_;
  // The rest of a line that was begun.
  std::string begun_;
  // The last line found no room.
  bool stalled_ = false;
  std::atomic<uint64_t> written_lines_{0};
  std::atomic<uint64_t> written_bytes_{0};
  std::atomic<uint64_t> dropped_lines_{0};
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_BOUNDED_OUTPUT_H_
