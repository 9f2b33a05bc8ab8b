// thornplank_entry: one entry of the system, which serves callers and sends
// their requests to upstreams.
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "entry_process.h"
#include "logging/event_log.h"
#include "settings/entry_settings.h"
#include "settings/settings_program.h"

DEFINE_string(settings, "", "settings file (JSON with comments)");
DEFINE_bool(check, false, "checks the settings file and exits");

namespace thornplank {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitDrainTimedOut = 1;
constexpr int kExitUnusableSettings = 2;

// Runs the entry until SIGTERM or SIGINT, then shuts it down gracefully.
int RunEntry(const EntrySettings& settings) {
  boost::asio::io_context io;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([](const boost::system::error_code&, int) {});
  EntryProcess process(settings);
  Error fatal_error;
  Error error;
  const bool started = process.Start(
      [&io, &fatal_error](const Error& cause) {
        boost::asio::post(io, [&io, &fatal_error, cause] {
          fatal_error = cause;
          io.stop();
        });
      },
      &error);
  if (!started) {
    std::cerr << FLAGS_settings << ": " << error.ToString() << "\n";
    return kExitUnusableSettings;
  }
  io.run();
  const bool clean = process.Stop();
  if (!fatal_error.reason.empty()) {
    std::cerr << FLAGS_settings << ": " << fatal_error.ToString() << "\n";
    return kExitUnusableSettings;
  }
  return clean ? kExitOk : kExitDrainTimedOut;
}

int RunWithEventLog(const EntrySettings& settings) {
  Error error;
  if (!OpenEventLog(settings.name, settings.log.level,
                    LogWriter::kBackgroundThread, settings.log.file, &error)) {
    std::cerr << FLAGS_settings << ": " << error.ToString() << "\n";
    return kExitUnusableSettings;
  }
  const int code = RunEntry(settings);
  CloseEventLog();
  return code;
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "one entry of thornplank\nexample: thornplank_entry "
      "--settings=entry.json\nexit codes: 0 graceful shutdown done, 1 requests "
      "were still in flight at the drain timeout, 2 invalid settings");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return thornplank::RunWithSettings<thornplank::EntrySettings>(
      "thornplank_entry", FLAGS_settings, FLAGS_check,
      thornplank::ReadEntrySettings, thornplank::RunWithEventLog);
}
