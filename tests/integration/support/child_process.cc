// Implementation with Boost.Process.
#include "child_process.h"

#include <sys/wait.h>

#include <cerrno>
#include <csignal>
#include <fstream>
#include <thread>

#include <boost/process.hpp>

namespace thornplank {

namespace process = boost::process;

namespace {

// Boost.Process overwrites an existing file without truncating it, so that the
// end of longer old output would remain.
const std::string& TruncateFile(const std::string& path) {
  std::ofstream file(path, std::ios::trunc);
  return path;
}

}  // namespace

class ChildProcess::Impl {
 public:
  Impl(const std::string& program, const std::vector<std::string>& arguments,
       const std::string& output)
      : child(program, process::args(arguments),
              (process::std_out & process::std_err) > output,
              process::std_in < process::null) {}

  process::child child;
};

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& output)
    : impl_(std::make_unique<Impl>(program, arguments, TruncateFile(output))) {}

ChildProcess::~ChildProcess() { Kill(); }

bool ChildProcess::running() {
  std::error_code error;
  return impl_->child.running(error);
}

void ChildProcess::Signal(int signal) {
  if (running()) ::kill(impl_->child.id(), signal);
}

void ChildProcess::Kill() {
  if (!running()) return;
  Signal(SIGKILL);
  std::error_code error;
  impl_->child.wait(error);
}

// On a busy machine the threads of the process run on for a while after the
// signal was sent. Neither a stop nor an end that is seen here is consumed.
void ChildProcess::Suspend() {
  if (!running()) return;
  Signal(SIGSTOP);
  siginfo_t info{};
  const auto id = static_cast<id_t>(impl_->child.id());
  while (::waitid(P_PID, id, &info, WSTOPPED | WEXITED | WNOWAIT) != 0 &&
         errno == EINTR) {
  }
}

void ChildProcess::Resume() { Signal(SIGCONT); }

std::optional<int> ChildProcess::Wait(Duration limit) {
  const Time end = std::chrono::steady_clock::now() + limit;
  while (running()) {
    if (std::chrono::steady_clock::now() > end) return std::nullopt;
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return impl_->child.exit_code();
}

int ChildProcess::id() const { return impl_->child.id(); }

}  // namespace thornplank
