// The name contains process id and time, so that concurrent runs do not
// collide.
#include "run_folder.h"

#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>

namespace thornplank {

RunFolder::RunFolder(const std::string& kind) {
  const auto now = std::chrono::steady_clock::now().time_since_epoch().count();
  path_ = (std::filesystem::temp_directory_path() /
           ("thornplank-" + kind + "-" + std::to_string(::getpid()) + "-" +
            std::to_string(now)))
              .string();
  std::filesystem::create_directories(path_);
}

RunFolder::~RunFolder() {
  if (kept_ || std::getenv("THORNPLANK_KEEP_LOGS") != nullptr) return;
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace thornplank
