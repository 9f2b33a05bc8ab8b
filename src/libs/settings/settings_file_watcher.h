// Detects changes of a settings file by polling its metadata.
#ifndef THORNPLANK_SETTINGS_SETTINGS_FILE_WATCHER_H_
#define THORNPLANK_SETTINGS_SETTINGS_FILE_WATCHER_H_

#include <string>

namespace thornplank {

class SettingsFileWatcher {
 public:
  // The present state of the file does not count as a change.
  explicit SettingsFileWatcher(std::string path);

  // True if the file has changed since the last call. Compares inode, size and
  // modification time and does not read the file; its removal is a change too.
  bool CheckForChange();

 private:
  // The inode, size and modification time as text; "" if the file is absent.
  std::string Signature() const;

  const std::string path_;
  std::string signature_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_FILE_WATCHER_H_
