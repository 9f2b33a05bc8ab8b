// Notices that a settings file has changed, also without a signal.
#ifndef THORNPLANK_SETTINGS_SETTINGS_FILE_WATCHER_H_
#define THORNPLANK_SETTINGS_SETTINGS_FILE_WATCHER_H_

#include <string>

namespace thornplank {

class SettingsFileWatcher {
 public:
  // The file as it is now counts as known.
  explicit SettingsFileWatcher(std::string path);

  // Whether the file differs from how the last call found it. Looks at its
  // inode, size and time of change, and reads nothing; an absent file is one of
  // its states.
  bool CheckForChange();

 private:
  std::string Signature() const;

  const std::string path_;
  std::string signature_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_FILE_WATCHER_H_
