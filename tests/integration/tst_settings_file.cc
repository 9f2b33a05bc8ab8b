// The daemon rejects an invalid settings file with one line and exit code 2,
// and exits if it cannot take a configured port.
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "base/json.h"
#include "child_process.h"

namespace thornplank {
namespace {

struct ProcessResult {
  int code = -1;
  std::string output;
};

ProcessResult RunEntry(const std::string& folder, const Json& settings,
                       bool check) {
  const std::string file = folder + "/entry.json";
  const std::string log = folder + "/entry.log";
  std::ofstream(file) << settings.dump();
  std::vector<std::string> arguments = {"--settings", file};
  if (check) arguments.push_back("--check");
  ChildProcess process(THORNPLANK_ENTRY, arguments, log);
  ProcessResult result;
  result.code = process.Wait(std::chrono::seconds(20)).value_or(-1);
  std::ostringstream text;
  text << std::ifstream(log).rdbuf();
  result.output = text.str();
  return result;
}

Json ValidSettings() {
  return {{"name", "entry0"},
          {"region", "test"},
          {"failure_domain", "a"},
          {"listen_http", "127.9.9.9:0"},
          {"listen_peers", "127.9.9.9:0"},
          {"peers", Json::array()},
          {"peer_secret", "inner-secret"},
          {"log_address", "127.9.9.9:9000"},
          {"instance_list_address", "127.9.9.9:9001"},
          {"tokens",
           {{{"name", "operator"},
             {"token", "operator-secret"},
             {"role", "operator"}}}}};
}

TEST_CASE("an invalid settings file is rejected with one line") {
  struct Row {
    const char* name;
    Json patch;
    int code;
    const char* expected_text;
  };
  const std::vector<Row> rows = {
      {"valid", Json::object(), 0, "ok"},
      {"unknown key", {{"nmae", "x"}}, 2, "nmae"},
      {"wrong type", {{"threads", "two"}}, 2, "threads"},
      {"wrong unit", {{"drain_timeout_s", 3}}, 2, "drain_timeout"},
      {"missing", {{"name", nullptr}}, 2, "name"},
      {"no address", {{"log_address", "localhost:9"}}, 2, "log_address"},
  };
  const std::string folder =
      (std::filesystem::temp_directory_path() /
       ("thornplank-settings-" + std::to_string(::getpid())))
          .string();
  std::filesystem::create_directories(folder);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Json settings = ValidSettings();
    settings.merge_patch(row.patch);
    const ProcessResult result = RunEntry(folder, settings, /*check=*/true);
    CAPTURE(result.output);
    CHECK(result.code == row.code);
    CHECK(result.output.find(row.expected_text) != std::string::npos);
    CHECK(std::count(result.output.begin(), result.output.end(), '\n') == 1);
  }
  std::filesystem::remove_all(folder);
}

TEST_CASE("a port in use ends the start with exit code 2") {
  const std::string folder = (std::filesystem::temp_directory_path() /
                              ("thornplank-port-" + std::to_string(::getpid())))
                                 .string();
  std::filesystem::create_directories(folder);
  Json settings = ValidSettings();
  // The HTTP listener takes the address before the peer listener binds to it.
  const std::string address =
      "127.9.8." + std::to_string(::getpid() % 250 + 1) + ":9777";
  settings["listen_http"] = address;
  settings["listen_peers"] = address;
  const ProcessResult result = RunEntry(folder, settings, /*check=*/false);
  CAPTURE(result.output);
  CHECK(result.code == 2);
  CHECK(result.output.find(address) != std::string::npos);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace thornplank
