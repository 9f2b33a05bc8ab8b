// Boost.Process behind a small interface.
#include "child_process.h"

#include <csignal>
#include <fstream>
#include <thread>

#include <boost/process.hpp>

namespace thornplank {

namespace process = boost::process;

namespace {

// Boost.Process writes over an existing file from its beginning.
const std::string& Emptied(const std::string& path) {
  std::ofstream emptied(path, std::ios::trunc);
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
    : impl_(std::make_unique<Impl>(program, arguments, Emptied(output))) {}

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

void ChildProcess::Freeze() { Signal(SIGSTOP); }
void ChildProcess::Thaw() { Signal(SIGCONT); }

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
