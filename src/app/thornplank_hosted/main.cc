// thornplank_hosted: one entry on the users' platform.
#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <optional>

#include "hosted_process.h"
#include "logging/event_log.h"
#include "logging/events/process_events.h"
#include "settings/hosted_settings.h"
#include "settings/settings_reader.h"

DEFINE_string(settings, "", "settings file (JSON with comments)");
DEFINE_bool(check, false, "checks the settings file and ends");

namespace thornplank {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;

// A file that cannot be read leaves the settings in force as they are.
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
    return kExitUsage;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  std::function<void()> wait = [&] {
    signals.async_wait([&](const boost::system::error_code& code, int signal) {
      if (code) return;
      if (signal == SIGHUP) {
        Reload(&process);
      } else {
        process.Stop([&io] { io.stop(); });
      }
      wait();
    });
  };
  wait();
  io.run();
  return kExitOk;
}

int Run() {
  if (FLAGS_settings.empty()) {
    std::cerr << "thornplank_hosted: --settings=FILE is needed\n";
    return kExitUsage;
  }
  Error error;
  const std::optional<HostedSettings> settings =
      ReadHostedSettings(FLAGS_settings, &error);
  if (!settings) {
    std::cerr << SettingsErrorLine(error) << "\n";
    return kExitUsage;
  }
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": ok\n";
    return kExitOk;
  }
  OpenEventLog(settings->name, settings->log_level, LogWriter::kCaller);
  const int code = RunEntry(*settings);
  CloseEventLog();
  return code;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "one entry of thornplank on the users' platform\nexample: "
      "thornplank_hosted --settings=hosted.json\nsignals: SIGTERM ends it "
      "gracefully, SIGHUP reads the settings again\nexit codes: 0 graceful "
      "shutdown done, 2 wrong settings");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return thornplank::Run();
}
