// Each error in an entry's settings file gives one line with the file, the key,
// the value found and what is allowed.
#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "settings/entry_settings.h"
#include "settings/settings_reader.h"

namespace thornplank {
namespace {

std::string WriteFile(const std::string& text) {
  const std::string path = "tst_entry_settings.json";
  std::ofstream(path) << text;
  return path;
}

Json ValidFile() {
  return Json::parse(R"({
    "name": "entry-1", "failure_domain": "augsburg",
    "listen_http": "127.0.0.1:0", "listen_peers": "127.0.0.1:8201",
    "peers": ["127.0.0.1:8202"], "peer_secret": "inner-secret",
    "log_address": "127.0.0.1:8001",
    "instance_list_address": "[::1]:8002",
    "log": {"level": "warning"},
    "tokens": [
      {"name": "desk", "token": "secret-1", "role": "caller", "account": "north"},
      {"name": "admin", "token": "secret-2", "role": "operator"}],
    "jobs": {"lease_term_ms": 9000, "renewal_interval_ms": 2000}})");
}

struct Mistake {
  // JSON merge patch for the valid file; null removes a key.
  const char* patch;
  const char* line;
};

TEST_CASE("A valid file fills the struct and keeps the other defaults") {
  const std::string path = WriteFile("// a comment\n" + ValidFile().dump());
  Error error;
  const std::optional<EntrySettings> settings = ReadEntrySettings(path, &error);
  REQUIRE_MESSAGE(settings, error.ToString());
  CHECK(settings->name == "entry-1");
  CHECK(settings->log.level == Severity::kWarning);
  CHECK(settings->jobs.lease_term == Milliseconds(9000));
  CHECK(settings->threads == EntrySettings().threads);
  REQUIRE(settings->tokens.size() == 2);
  CHECK(settings->tokens[0].account == "north");
  CHECK(settings->tokens[1].role == TokenRole::kOperator);
}

TEST_CASE("The sample file is valid") {
  Error error;
  CHECK_MESSAGE(ReadEntrySettings(THORNPLANK_SAMPLE_FILE, &error),
                error.ToString());
}

TEST_CASE("Each mistake gives one line") {
  const std::vector<Mistake> mistakes = {
      {R"({"nmae": "x"})", "nmae: found an unknown key, allowed name, "},
      {R"({"log": {"levle": "info"}})",
       "log.levle: found an unknown key, allowed level, file"},
      {R"({"name": null})", "name: found nothing, allowed a value"},
      {R"({"tokens": null})", "tokens: found nothing, allowed a value"},
      {R"({"name": 7})", "name: found number 7, allowed a name"},
      {R"({"name": "a b"})", "name: found \"a b\", allowed a name"},
      {R"({"threads": "2"})",
       "threads: found string \"2\", allowed a whole number from 1 to 64"},
      {R"({"threads": 2.5})", "threads: found number 2.5, allowed a whole"},
      {R"({"threads": 0})", "threads: found 0, allowed a whole number from 1"},
      {R"({"threads": 18446744073709551615})", "threads: found 18446744073709"},
      {R"({"jobs": {"lease_term_ms": null, "lease_term_s": 9}})",
       "jobs.lease_term_s: found a key of another unit, allowed lease_term_ms"},
      {R"({"drain_timeout": 9})",
       "drain_timeout: found a key of another unit, allowed drain_timeout_ms"},
      {R"({"jobs": 4})", "jobs: found number 4, allowed an object"},
      {R"({"jobs": {"renewal_interval_ms": 5000}})",
       "jobs.renewal_interval_ms: found 5000, allowed at most half of "
       "lease_term_ms (4500)"},
      {R"({"membership": {"suspect_after_ms": 200}})",
       "membership.suspect_after_ms: found 200, allowed more than"},
      {R"({"membership": {"dead_after_ms": 1000}})",
       "membership.dead_after_ms: found 1000, allowed more than"},
      {R"({"limits": {"buffered_bytes": 2048}})",
       "limits.buffered_bytes: found 2048, allowed at least body_bytes"},
      {R"({"log": {"level": "loud"}})",
       "log.level: found \"loud\", allowed one of debug, info, warning, error"},
      {R"({"listen_http": "localhost:80"})",
       "listen_http: found \"localhost:80\", allowed a numeric IP"},
      {R"({"listen_http": "127.0.0.1"})", "listen_http: found"},
      {R"({"listen_http": "127.0.0.1:70000"})", "listen_http: found"},
      {R"({"log_address": "127.0.0.1:0"})", "log_address: found"},
      {R"({"peers": "127.0.0.1:8202"})", "peers: found string"},
      {R"({"peers": ["127.0.0.1:8202", "127.0.0.1:8202"]})",
       "peers[1]: found \"127.0.0.1:8202\" a second time, allowed each"},
      {R"({"peers": ["127.0.0.1:8201"]})",
       "peers: found its own listen_peers 127.0.0.1:8201, allowed addresses"},
      {R"({"peers": ["127.0.0.1:8202", "host:1"]})", "peers[1]: found"},
      {R"({"peer_secret": "tiny"})",
       "peer_secret: found 4 bytes, allowed text of at least 8 bytes"},
      {R"({"tokens": []})", "tokens: found 0 items, allowed at least 1"},
      {R"({"tokens": [{"name": "a", "token": "secret-1", "role": "root"}]})",
       "tokens[0].role: found \"root\", allowed one of caller, viewer, "},
      {R"({"tokens": [{"name": "a", "token": "secret-1", "role": "caller"}]})",
       "tokens[0].account: found no account, allowed a client account"},
      {R"({"tokens": [{"name": "a", "token": "secret-1", "role": "viewer",
                       "account": "north"}]})",
       "tokens[0].account: found \"north\", allowed no account"},
      {R"({"tokens": [{"name": "a", "token": "secret-1", "role": "viewer"},
                      {"name": "b", "token": "secret-1", "role": "viewer"}]})",
       "tokens[1].token: found the token of another item, allowed each token"},
      {R"({"tokens": [{"name": "a", "token": "secret-1", "role": "viewer"},
                      {"name": "a", "token": "secret-2", "role": "viewer"}]})",
       "tokens[1].name: found \"a\" a second time, allowed each name once"},
  };
  for (const Mistake& mistake : mistakes) {
    CAPTURE(mistake.patch);
    Json file = ValidFile();
    file.merge_patch(Json::parse(mistake.patch));
    const std::string path = WriteFile(file.dump());
    Error error;
    CHECK_FALSE(ReadEntrySettings(path, &error));
    const std::string line = SettingsErrorLine(error);
    CAPTURE(line);
    CHECK(line.rfind(path + ": " + mistake.line, 0) == 0);
    CHECK(line.find(", allowed ") != std::string::npos);
    CHECK(line.find('\n') == std::string::npos);
    CHECK(line.find("secret-") == std::string::npos);
  }
}

TEST_CASE("A file that cannot be read is named") {
  Error error;
  CHECK_FALSE(ReadEntrySettings("no-such-file.json", &error));
  CHECK(SettingsErrorLine(error) ==
        "no-such-file.json: found no readable file, allowed a JSON file");
  CHECK_FALSE(ReadEntrySettings(WriteFile("{\"name\": "), &error));
  CHECK(error.reason.find("malformed JSON") != std::string::npos);
}

}  // namespace
}  // namespace thornplank
