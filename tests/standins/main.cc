// Main function of thornplank_standin, which takes the place of the platform
// and the upstreams in tests.
//
// One process runs any number of roles. README.md describes the configuration
// and the controls.
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "standins/standin_process.h"

DEFINE_string(config, "", "configuration file, JSON with comments");
DEFINE_string(port_file, "",
              "file that receives the addresses in use, as JSON");
DEFINE_bool(check, false, "check the configuration and exit");

namespace thornplank::standins {
namespace {

constexpr int kConfigError = 2;
constexpr int kStartError = 1;

std::optional<StandinConfig> LoadConfig(const std::string& path, Error* error) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  auto json = file ? ParseJson(text.str()) : std::nullopt;
  if (!json) {
    SetError(error, "read config", path, "missing or not JSON");
    return std::nullopt;
  }
  return ParseStandinConfig(*json, error);
}

// Replaces the file atomically, so that a reader never sees a part of it.
bool WriteAddresses(const std::string& path, const Json& addresses,
                    Error* error) {
  std::string draft = path + ".new";
  std::ofstream file(draft);
  file << addresses.dump(2) << '\n';
  file.close();
  if (file && std::rename(draft.c_str(), path.c_str()) == 0) return true;
  SetError(error, "write addresses", path, "cannot write the file");
  return false;
}

int Fail(const Error& error, int code) {
  std::cerr << error.ToString() << std::endl;
  return code;
}

int Run() {
  Error error;
  auto config = LoadConfig(FLAGS_config, &error);
  if (!config) return Fail(error, kConfigError);
  if (FLAGS_check) return 0;
  // Set up before "ready" is printed, so that no signal sent after that is
  // lost.
  boost::asio::io_context signal_io;
  boost::asio::signal_set signals(signal_io, SIGTERM, SIGINT);
  StandinProcess process;
  if (!process.Start(*config, &error)) return Fail(error, kStartError);
  if (!FLAGS_port_file.empty() &&
      !WriteAddresses(FLAGS_port_file, process.Addresses(), &error)) {
    return Fail(error, kStartError);
  }
  std::cout << "ready" << std::endl;
  signals.async_wait([](boost::system::error_code, int) {});
  signal_io.run();
  process.Stop();
  return 0;
}

}  // namespace
}  // namespace thornplank::standins

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--config FILE [--port_file FILE] [--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return thornplank::standins::Run();
}
