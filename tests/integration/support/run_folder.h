// A folder of its own for one run's settings and logs, removed at the end.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_FOLDER_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_FOLDER_H_

#include <string>

namespace thornplank {

class RunFolder {
 public:
  // `kind` is part of its name.
  explicit RunFolder(const std::string& kind);
  // Kept where THORNPLANK_KEEP_LOGS is set.
  ~RunFolder();

  RunFolder(const RunFolder&) = delete;
  RunFolder& operator=(const RunFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_FOLDER_H_
