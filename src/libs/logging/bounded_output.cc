// poll() before each write of at most PIPE_BUF bytes, which then never blocks.
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

BoundedOutput::BoundedOutput(int descriptor, Milliseconds patience)
    : descriptor_(descriptor),
      patience_(patience),
      may_be_full_(!IsRegularFile(descriptor)) {}

void BoundedOutput::Write(std::string_view line) {
  const Milliseconds patience = stalled_ ? Milliseconds(0) : patience_;
  std::string_view rest = begun_;
  if (!rest.empty() && WriteSome(&rest, patience) != Result::kWritten) {
    begun_.assign(rest);
    stalled_ = true;
    ++dropped_lines_;
    return;
  }
  begun_.clear();
  rest = line;
  const Result result = WriteSome(&rest, patience);
  stalled_ = result != Result::kWritten;
  if (rest.size() == line.size()) {
    ++dropped_lines_;
    return;
  }
  if (result == Result::kFull) begun_.assign(rest);
  ++written_lines_;
  written_bytes_ += line.size();
}

BoundedOutput::Result BoundedOutput::WriteSome(std::string_view* text,
                                               Milliseconds patience) {
  while (!text->empty()) {
    if (may_be_full_ && !WaitForRoom(patience)) return Result::kFull;
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

bool BoundedOutput::WaitForRoom(Milliseconds patience) const {
  pollfd entry{descriptor_, POLLOUT, 0};
  const int ready = ::poll(&entry, 1, static_cast<int>(patience.count()));
  // An error is for write() to tell.
  return ready != 0;
}

}  // namespace thornplank
