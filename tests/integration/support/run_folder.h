// A temporary folder for the settings and logs of one run.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_FOLDER_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_FOLDER_H_

#include <string>

namespace thornplank {

class RunFolder {
 public:
  // `kind` becomes part of the folder's name.
  explicit RunFolder(const std::string& kind);
  // Removes the folder unless it is kept or THORNPLANK_KEEP_LOGS is set.
  ~RunFolder();

  RunFolder(const RunFolder&) = delete;
  RunFolder& operator=(const RunFolder&) = delete;

  const std::string& path() const { return path_; }
  void Keep() { kept_ = true; }

 private:
  std::string path_;
  bool kept_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_RUN_FOLDER_H_
