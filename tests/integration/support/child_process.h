// A program that a test starts; the destructor kills it if it is still running.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_CHILD_PROCESS_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_CHILD_PROCESS_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace thornplank {

class ChildProcess {
 public:
  // Standard output and standard error are written to the file `output`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& output);
  // Kills the process if it is still running.
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool running();
  void Signal(int signal);
  // Sends SIGKILL and waits for the process to end.
  void Kill();
  // Suspends the process with SIGSTOP, and returns once it has stopped; resumes
  // it with SIGCONT.
  void Suspend();
  void Resume();
  // The exit code; nullopt if the process is still running after `limit`.
  std::optional<int> Wait(Duration limit);
  int id() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_CHILD_PROCESS_H_
