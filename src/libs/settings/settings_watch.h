// Notices that a settings file has changed, also without a signal.
#ifndef THORNPLANK_SETTINGS_SETTINGS_WATCH_H_
#define THORNPLANK_SETTINGS_SETTINGS_WATCH_H_

#include <string>

namespace thornplank {

class SettingsWatch {
 public:
  // The file as it is now counts as known.
  explicit SettingsWatch(std::string path);

  // Whether the file differs from how the last call found it. Looks at its
  // inode, size and time of change, and reads nothing; an absent file is one of
  // its states.
  bool Changed();

 private:
  std::string Signature() const;

  const std::string path_;
  std::string signature_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_WATCH_H_
