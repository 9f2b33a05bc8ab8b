// Writes lines to a file descriptor whose reader may be slow, stuck or gone.
//
// A pipe that nobody reads blocks its writer. When a pipe is full, this class
// waits for room once, for a bounded time. After that it drops whole lines
// without waiting, for as long as the pipe stays full.
#ifndef THORNPLANK_LOGGING_BOUNDED_OUTPUT_H_
#define THORNPLANK_LOGGING_BOUNDED_OUTPUT_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"

namespace thornplank {

// Write() must be called by one thread at a time; the counts may be read by any
// thread.
class BoundedOutput {
 public:
  // `max_wait` bounds the wait for a full descriptor; while the descriptor
  // stays full, further lines do not wait. Does not own `descriptor`. The
  // process must ignore SIGPIPE.
  BoundedOutput(int descriptor, Milliseconds max_wait);

  // Writes `line`, which ends with a newline, or drops it as a whole. The rest
  // of a line that was written in part is written by a later call.
  void Write(std::string_view line);

  uint64_t written_lines() const { return written_lines_; }
  uint64_t written_bytes() const { return written_bytes_; }
  uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  enum class Result { kWritten, kFull, kClosed };

  // Writes as much of `text` as the descriptor takes and removes it from
  // `text`.
  Result WriteSome(std::string_view* text, Milliseconds max_wait);
  bool WaitUntilWritable(Milliseconds max_wait) const;

  const int descriptor_;
  const Milliseconds max_wait_;
  // False for regular files, which are always writable and need no poll().
  const bool may_be_full_;
  // What is left to write of a line that was written in part.
  std::string unfinished_line_;
  // The last line could not be written completely.
  bool stalled_ = false;
  std::atomic<uint64_t> written_lines_{0};
  std::atomic<uint64_t> written_bytes_{0};
  std::atomic<uint64_t> dropped_lines_{0};
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_BOUNDED_OUTPUT_H_
