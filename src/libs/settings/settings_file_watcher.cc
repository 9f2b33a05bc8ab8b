// Each check makes one stat() call.
#include "settings/settings_file_watcher.h"

#include <sys/stat.h>

#include <utility>

namespace thornplank {

SettingsFileWatcher::SettingsFileWatcher(std::string path)
    : path_(std::move(path)), signature_(Signature()) {}

bool SettingsFileWatcher::CheckForChange() {
  std::string current = Signature();
  const bool changed = current != signature_;
  signature_ = std::move(current);
  return changed;
}

std::string SettingsFileWatcher::Signature() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) return "";
  return std::to_string(status.st_ino) + " " + std::to_string(status.st_size) +
         " " + std::to_string(status.st_mtim.tv_sec) + "." +
         std::to_string(status.st_mtim.tv_nsec);
}

}  // namespace thornplank
