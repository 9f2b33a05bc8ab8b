// A program started by a test, stopped at the latest by the destructor.
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
  // Output of both kinds goes to the file `output`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& output);
  // Kills the process when it still runs.
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool running();
  void Signal(int signal);
  // SIGKILL, and waits.
  void Kill();
  // SIGSTOP and SIGCONT.
  void Freeze();
  void Thaw();
  // The exit code; nullopt when it still runs after `limit`.
  std::optional<int> Wait(Duration limit);
  int id() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_CHILD_PROCESS_H_
