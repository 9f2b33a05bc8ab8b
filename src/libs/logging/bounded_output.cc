// Calls poll() before each write of at most PIPE_BUF bytes: a pipe that is
// reported as writable takes that many bytes without blocking.
#include "logging/bounded_output.h"

#include <limits.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace thornplank {
namespace {

bool IsRegularFile(int descriptor) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

}  // namespace

BoundedOutput::BoundedOutput(int descriptor, Milliseconds max_wait)
    : descriptor_(descriptor),
      max_wait_(max_wait),
      may_be_full_(!IsRegularFile(descriptor)) {}

void BoundedOutput::Write(std::string_view line) {
  const Milliseconds max_wait = stalled_ ? Milliseconds(0) : max_wait_;
  std::string_view remaining = unfinished_line_;
  if (!remaining.empty() &&
      WriteSome(&remaining, max_wait) != Result::kWritten) {
    unfinished_line_.assign(remaining);
    stalled_ = true;
    ++dropped_lines_;
    return;
  }
  unfinished_line_.clear();
  remaining = line;
  const Result result = WriteSome(&remaining, max_wait);
  stalled_ = result != Result::kWritten;
  if (remaining.size() == line.size()) {
    ++dropped_lines_;
    return;
  }
  if (result == Result::kFull) unfinished_line_.assign(remaining);
  ++written_lines_;
  written_bytes_ += line.size();
}

BoundedOutput::Result BoundedOutput::WriteSome(std::string_view* text,
                                               Milliseconds max_wait) {
  while (!text->empty()) {
    if (may_be_full_ && !WaitUntilWritable(max_wait)) return Result::kFull;
    const size_t size = std::min<size_t>(text->size(), PIPE_BUF);
    const ssize_t written = ::write(descriptor_, text->data(), size);
    if (written >= 0) {
      text->remove_prefix(static_cast<size_t>(written));
      continue;
    }
    if (errno == EINTR) continue;
    return errno == EAGAIN ? Result::kFull : Result::kClosed;
  }
  return Result::kWritten;
}

bool BoundedOutput::WaitUntilWritable(Milliseconds max_wait) const {
  pollfd entry{descriptor_, POLLOUT, 0};
  const int ready = ::poll(&entry, 1, static_cast<int>(max_wait.count()));
  // Also true after an error of poll(): write() then reports the fault.
  return ready != 0;
}

}  // namespace thornplank
