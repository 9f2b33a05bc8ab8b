// The daemon refuses a wrong settings file with one line and exit code 2, and
// starts nothing half-configured.
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

struct Ended {
  int code = -1;
  std::string output;
};

Ended RunEntry(const std::string& folder, const Json& settings, bool check) {
  const std::string file = folder + "/entry.json";
  const std::string log = folder + "/entry.log";
  std::ofstream(file) << settings.dump();
  std::vector<std::string> arguments = {"--settings", file};
  if (check) arguments.push_back("--check");
  ChildProcess process(THORNPLANK_ENTRY, arguments, log);
  Ended ended;
  ended.code = process.Wait(std::chrono::seconds(20)).value_or(-1);
  std::ostringstream text;
  text << std::ifstream(log).rdbuf();
  ended.output = text.str();
  return ended;
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

TEST_CASE("a wrong settings file is refused in one line") {
  struct Row {
    const char* name;
    Json patch;
    int code;
    const char* said;
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
    const Ended ended = RunEntry(folder, settings, /*check=*/true);
    CAPTURE(ended.output);
    CHECK(ended.code == row.code);
    CHECK(ended.output.find(row.said) != std::string::npos);
    CHECK(std::count(ended.output.begin(), ended.output.end(), '\n') == 1);
  }
  std::filesystem::remove_all(folder);
}

TEST_CASE("a port in use is refused before anything runs") {
  const std::string folder = (std::filesystem::temp_directory_path() /
                              ("thornplank-port-" + std::to_string(::getpid())))
                                 .string();
  std::filesystem::create_directories(folder);
  Json settings = ValidSettings();
  // The peer listener meets the address that the HTTP listener just took.
  const std::string address =
      "127.9.8." + std::to_string(::getpid() % 250 + 1) + ":9777";
  settings["listen_http"] = address;
  settings["listen_peers"] = address;
  const Ended ended = RunEntry(folder, settings, /*check=*/false);
  CAPTURE(ended.output);
  CHECK(ended.code == 2);
  CHECK(ended.output.find(address) != std::string::npos);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace thornplank
