// The hosted entry's settings file: invalid values, when a new value takes
// effect, and the file watcher.
#include <doctest/doctest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "settings/hosted_settings.h"
#include "settings/settings_file_watcher.h"
#include "settings/settings_reader.h"

namespace thornplank {
namespace {

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

Json ValidFile() {
  return Json::parse(R"({
    "name": "entry-1", "failure_domain": "a",
    "listen_callers": "127.0.0.1:8001", "listen_readiness": "127.0.0.1:8002",
    "store_address": "127.0.0.1:9000"})");
}

TEST_CASE("the sample holds every key at its default") {
  Error error;
  const auto settings =
      ReadHostedSettings(THORNPLANK_HOSTED_SAMPLE_FILE, &error);
  REQUIRE_MESSAGE(settings, error.ToString());
  CHECK(settings->reclaim_bound == HostedSettings().reclaim_bound);
  CHECK(settings->far_slowdown == HostedSettings().far_slowdown);
  CHECK(settings->stop_grace == HostedSettings().stop_grace);
  CHECK(settings->state_kept == HostedSettings().state_kept);
  CHECK(settings->cancel_bound == HostedSettings().cancel_bound);
  CHECK(settings->stop_bound == HostedSettings().stop_bound);
  CHECK(settings->gang_patience == HostedSettings().gang_patience);
  CHECK(settings->longest_lease == HostedSettings().longest_lease);
  CHECK(settings->worker_heartbeat == HostedSettings().worker_heartbeat);
  CHECK(settings->restore_time == HostedSettings().restore_time);
  CHECK(settings->store_record_bytes == HostedSettings().store_record_bytes);
  CHECK(settings->store_append_bytes == HostedSettings().store_append_bytes);
  CHECK(settings->min_replicas == HostedSettings().min_replicas);
  CHECK(settings->max_descriptors == HostedSettings().max_descriptors);
  CHECK(settings->configuration_bound == HostedSettings().configuration_bound);
  CHECK(settings->held_capacity == HostedSettings().held_capacity);
  CHECK(settings->account_shares == HostedSettings().account_shares);
  CHECK(settings->worker_health == HostedSettings().worker_health);
  CHECK(settings->compact_gangs == HostedSettings().compact_gangs);
}

TEST_CASE("seconds may have fractions") {
  const std::string path = "tst_hosted_settings_seconds.json";
  Json file = ValidFile();
  file["stop_grace_s"] = 2.5;
  WriteFile(path, file.dump());
  Error error;
  const auto settings = ReadHostedSettings(path, &error);
  REQUIRE_MESSAGE(settings, error.ToString());
  CHECK(settings->stop_grace == Milliseconds(2500));
  std::remove(path.c_str());
}

TEST_CASE("each mistake gives one line") {
  struct Row {
    const char* patch;
    const char* line;
  };
  std::vector<Row> rows = {
      {R"({"nmae": "x"})", "nmae: found an unknown key, allowed name, "},
      {R"({"store_address": null})",
       "store_address: found nothing, allowed a value"},
      {R"({"far_slowdown": 0.5})",
       "far_slowdown: found 0.5, allowed a number from 1"},
      {R"({"min_replicas": 0})", "min_replicas: found 0, allowed"},
      {R"({"store_record_bytes": 100})",
       "store_record_bytes: found 100, allowed"},
      {R"({"store_append_bytes": 0})", "store_append_bytes: found 0, allowed"},
      {R"({"max_descriptors": -1})", "max_descriptors: found -1, allowed"},
      {R"({"reclaim_bound_ms": 0})", "reclaim_bound_ms: found 0, allowed"},
      {R"({"stop_bound_ms": -1})", "stop_bound_ms: found -1, allowed"},
      {R"({"stop_grace_s": "6"})", "stop_grace_s: found string \"6\", allowed"},
      {R"({"stop_grace_ms": 6000})",
       "stop_grace_ms: found a key of another unit, allowed stop_grace_s"},
      {R"({"log_level": "loud"})", "log_level: found \"loud\", allowed one of"},
      {R"({"account_shares": "maybe"})",
       "account_shares: found \"maybe\", allowed one of"},
  };
  const std::string path = "tst_hosted_settings_mistakes.json";
  const std::string long_domain =
      R"({"failure_domain": ")" + std::string(256, 'd') + R"("})";
  rows.push_back(
      {long_domain.c_str(), "allowed text that is not empty, of at"});
  for (const Row& row : rows) {
    CAPTURE(std::string(row.patch));
    Json file = ValidFile();
    file.merge_patch(Json::parse(row.patch));
    WriteFile(path, file.dump());
    Error error;
    CHECK_FALSE(ReadHostedSettings(path, &error).has_value());
    CAPTURE(SettingsErrorLine(error));
    CHECK(SettingsErrorLine(error).find(row.line) != std::string::npos);
  }
  std::remove(path.c_str());
}

TEST_CASE("a change takes effect at once or at the next start") {
  struct Row {
    std::function<void(HostedSettings&)> change;
    std::string key;
    bool at_once;
  };
  const std::vector<Row> rows = {
      {[](HostedSettings& s) { s.log_level = Severity::kDebug; }, "log_level",
       true},
      {[](HostedSettings& s) { s.store_address = "127.0.0.1:1"; },
       "store_address", true},
      {[](HostedSettings& s) { s.store_record_bytes = 5000; },
       "store_record_bytes", false},
      {[](HostedSettings& s) { s.store_append_bytes = 5000; },
       "store_append_bytes", false},
      {[](HostedSettings& s) { s.revocation_bound = Milliseconds(9000); },
       "revocation_bound_ms", true},
      {[](HostedSettings& s) { s.listen_callers = "127.0.0.1:1"; },
       "listen_callers", false},
      {[](HostedSettings& s) { s.listen_entries = "127.0.0.1:1"; },
       "listen_entries", false},
      {[](HostedSettings& s) { s.stop_grace = Milliseconds(1); },
       "stop_grace_s", true},
      {[](HostedSettings& s) { s.far_slowdown = 4; }, "far_slowdown", false},
      {[](HostedSettings& s) { s.longest_lease = Milliseconds(1); },
       "longest_lease_ms", false},
  };
  const HostedSettings before;
  CHECK(Compare(before, before).at_once.empty());
  CHECK(Compare(before, before).at_restart.empty());
  for (const Row& row : rows) {
    CAPTURE(row.key);
    HostedSettings after = before;
    row.change(after);
    const HostedSettingsChange change = Compare(before, after);
    const std::vector<std::string> expected = {row.key};
    CHECK((row.at_once ? change.at_once : change.at_restart) == expected);
    CHECK((row.at_once ? change.at_restart : change.at_once).empty());
  }
}

TEST_CASE("the watcher reports each change of the file once") {
  const std::string path = "tst_hosted_settings_watch.json";
  const std::string other = path + ".new";
  WriteFile(path, "{}");
  SettingsFileWatcher watcher(path);
  CHECK_FALSE(watcher.CheckForChange());
  WriteFile(path, "{ }");
  CHECK(watcher.CheckForChange());
  CHECK_FALSE(watcher.CheckForChange());
  // Many tools write by replacing the file, here by one of the same size.
  WriteFile(other, "{ }");
  std::filesystem::rename(other, path);
  CHECK(watcher.CheckForChange());
  std::filesystem::remove(path);
  CHECK(watcher.CheckForChange());
  CHECK_FALSE(watcher.CheckForChange());
}

}  // namespace
}  // namespace thornplank
