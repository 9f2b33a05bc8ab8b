// Start-up that all programs with a settings file share.
#ifndef THORNPLANK_SETTINGS_SETTINGS_PROGRAM_H_
#define THORNPLANK_SETTINGS_SETTINGS_PROGRAM_H_

#include <functional>
#include <iostream>
#include <optional>
#include <string>

#include "base/error.h"
#include "settings/settings_reader.h"

namespace thornplank {

inline constexpr int kExitSettingsOk = 0;
inline constexpr int kExitInvalidSettings = 2;

// Reads the file at `path` with `read` and returns the exit code of `run`. With
// `only_check` it prints that the file is valid and does not call `run`. The
// first problem of an invalid file goes to standard error as one line.
template <typename Settings>
int RunWithSettings(
    const std::string& program, const std::string& path, bool only_check,
    const std::function<std::optional<Settings>(const std::string&, Error*)>&
        read,
    const std::function<int(const Settings&)>& run) {
  if (path.empty()) {
    std::cerr << program << ": --settings=FILE is needed\n";
    return kExitInvalidSettings;
  }
  Error error;
  const std::optional<Settings> settings = read(path, &error);
  if (!settings) {
    std::cerr << SettingsErrorLine(error) << "\n";
    return kExitInvalidSettings;
  }
  if (only_check) {
    std::cout << path << ": ok\n";
    return kExitSettingsOk;
  }
  return run(*settings);
}

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_PROGRAM_H_
