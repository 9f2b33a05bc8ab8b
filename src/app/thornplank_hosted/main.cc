// thornplank_hosted: one entry on the users' platform.
#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <optional>

#include "hosted_process.h"
#include "logging/event_log.h"
#include "logging/events/process_events.h"
#include "settings/hosted_settings.h"
#include "settings/settings_file_watcher.h"
#include "settings/settings_program.h"

DEFINE_string(settings, "", "settings file (JSON with comments)");
DEFINE_bool(check, false, "checks the settings file and exits");

namespace thornplank {
namespace {

constexpr int kExitOk = 0;
// Between two checks of the settings file, which may change without a signal.
constexpr std::chrono::seconds kSettingsCheckInterval{1};

// If the file cannot be read, the current settings stay in force.
void Reload(HostedProcess* process) {
  Error error;
  const std::optional<HostedSettings> settings =
      ReadHostedSettings(FLAGS_settings, &error);
  if (settings) return process->Reload(*settings);
  LogEvent(events::kSettingsNotReloaded, error);
}

int RunEntry(const HostedSettings& settings) {
  boost::asio::io_context io(1);
  HostedProcess process(io, settings);
  Error error;
  if (!process.Start(&error)) {
    std::cerr << FLAGS_settings << ": " << error.ToString() << "\n";
    return kExitInvalidSettings;
  }
  SettingsFileWatcher watcher(FLAGS_settings);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  std::function<void()> wait_for_signal = [&] {
    signals.async_wait([&](const boost::system::error_code& code, int signal) {
      if (code) return;
      if (signal == SIGHUP) {
        watcher.CheckForChange();
        Reload(&process);
      } else {
        process.Stop([&io] { io.stop(); });
      }
      wait_for_signal();
    });
  };
  wait_for_signal();
  boost::asio::steady_timer check_timer(io);
  std::function<void()> schedule_check = [&] {
    check_timer.expires_after(kSettingsCheckInterval);
    check_timer.async_wait([&](const boost::system::error_code& code) {
      if (code) return;
      if (watcher.CheckForChange()) Reload(&process);
      schedule_check();
    });
  };
  schedule_check();
  io.run();
  return kExitOk;
}

int RunWithEventLog(const HostedSettings& settings) {
  // Writes to standard output, so opening cannot fail.
  OpenEventLog(settings.name, settings.log_level, LogWriter::kCallingThread, "",
               nullptr);
  const int code = RunEntry(settings);
  CloseEventLog();
  return code;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "one entry of thornplank on the users' platform\nexample: "
      "thornplank_hosted --settings=hosted.json\nsignals: SIGTERM shuts "
      "down gracefully, SIGHUP reads the settings again, as a change of the "
      "file does\nexit codes: 0 graceful shutdown done, 2 invalid settings");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return thornplank::RunWithSettings<thornplank::HostedSettings>(
      "thornplank_hosted", FLAGS_settings, FLAGS_check,
      thornplank::ReadHostedSettings, thornplank::RunWithEventLog);
}
