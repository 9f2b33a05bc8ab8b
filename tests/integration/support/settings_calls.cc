// Calls of the operators' interface and reads of the log service.
#include "settings_calls.h"

#include <cstdlib>
#include <optional>

#include "client/api_client.h"

namespace thornplank {
namespace {

constexpr int kAllRecords = 100000;

Json SendToLog(const std::string& address, const std::string& method,
               const std::string& target, const std::string& body) {
  ApiClient client{ApiClientSettings()};
  const auto response =
      client.SendTo(address, method, target, body, HttpHeaders(), nullptr);
  if (!response.has_value()) return Json::object();
  Json answer = ParseJson(response->body).value_or(Json::object());
  answer["status"] = response->status;
  return answer;
}

std::string ReadTarget(const std::string& stream, int64_t from) {
  return "/v1/streams/" + stream +
         "/records?wait_ms=0&max=" + std::to_string(kAllRecords) +
         "&from=" + std::to_string(from);
}

}  // namespace

SettingsCalls::SettingsCalls(TestCluster* cluster, int entries)
    : cluster_(cluster), entries_(entries) {}

PutTold SettingsCalls::Put(int entry, const std::string& path, const Json& own,
                           int64_t version) {
  HttpHeaders headers;
  headers.Set("If-Match", '"' + std::to_string(version) + '"');
  const auto response =
      cluster_->Call(entry, "PUT", "/v1/settings/" + path, own, headers);
  PutTold told;
  if (!response.has_value()) return told;
  told.status = response->status;
  told.outcome = response->headers.Value("Thornplank-Outcome");
  told.has_retry_after = response->headers.Has("Retry-After");
  told.body = ParseJson(response->body).value_or(Json::object());
  const Json* current = ObjectField(told.body, "current");
  told.version = IntField(current == nullptr ? told.body : *current, "version")
                     .value_or(-1);
  told.offset = IntField(told.body, "offset").value_or(-1);
  return told;
}

PutTold SettingsCalls::PutUntilAccepted(int entry, const std::string& path,
                                        const Json& own) {
  PutTold told;
  TestCluster::Eventually([&] {
    told = Put(entry, path, own, Version(entry, path));
    return told.status == 200;
  });
  return told;
}

int64_t SettingsCalls::Version(int entry, const std::string& path) {
  const auto response = cluster_->Call(entry, "GET", "/v1/settings/" + path);
  if (!response.has_value()) return 0;
  const std::string tag = response->headers.Value("ETag");
  return tag.size() < 2 ? 0 : std::atoll(tag.c_str() + 1);
}

Json SettingsCalls::Node(int entry, const std::string& path, bool explain) {
  return cluster_->CallJson(
      entry, "GET", "/v1/settings/" + path + (explain ? "?explain=1" : ""));
}

Json SettingsCalls::History(int entry, const std::string& path) {
  const Json answer =
      cluster_->CallJson(entry, "GET", "/v1/settings-history?path=" + path);
  const Json* history = ArrayField(answer, "history");
  return history == nullptr ? Json::array() : *history;
}

Json SettingsCalls::State(int entry, const std::vector<std::string>& paths) {
  Json state = Json::object();
  for (const std::string& path : paths) {
    Json node = Node(entry, path);
    node.erase("offset");
    state[path] = {{"node", node}, {"history", History(entry, path)}};
  }
  return state;
}

bool SettingsCalls::AwaitState(const std::vector<int>& entries,
                               const std::vector<std::string>& paths,
                               const Json& expected) {
  for (const int entry : entries) {
    const bool same = TestCluster::Eventually(
        [&] { return State(entry, paths) == expected; });
    if (!same) return false;
  }
  return true;
}

int64_t SettingsCalls::Offset(int entry) {
  const Json status = cluster_->CallJson(entry, "GET", "/v1/status");
  const Json* offsets = ObjectField(status, "offsets");
  return offsets == nullptr ? -1 : IntField(*offsets, "settings").value_or(-1);
}

Json SettingsCalls::LogRecords(const std::string& stream) {
  const std::string address = cluster_->log_address();
  Json answer = SendToLog(address, "GET", ReadTarget(stream, 0), "");
  constexpr int kGone = 410;
  if (IntField(answer, "status") != kGone) return answer;
  return SendToLog(
      address, "GET",
      ReadTarget(stream, IntField(answer, "first_offset").value_or(0)), "");
}

Json SettingsCalls::NewestSnapshot() {
  Json newest;
  const Json answer = LogRecords();
  const Json* records = ArrayField(answer, "records");
  if (records == nullptr) return newest;
  for (const Json& record : *records) {
    const Json* data = ObjectField(record, "data");
    if (data != nullptr && StringField(*data, "type") == "snapshot") {
      newest = *data;
    }
  }
  return newest;
}

bool SettingsCalls::AwaitSnapshotAcrossGap(int64_t covers_at_least) {
  return TestCluster::Eventually(
      [&] {
        const Json answer = LogRecords();
        const int64_t first = IntField(answer, "first_offset").value_or(0);
        const Json newest = NewestSnapshot();
        const int64_t covers =
            newest.is_null() ? -1 : IntField(newest, "covers").value_or(-1);
        return first > 0 && covers >= first && covers >= covers_at_least;
      },
      std::chrono::seconds(40));
}

bool SettingsCalls::AppendToLog(const std::string& id, const Json& data) {
  const Json body = {{"records", {{{"id", id}, {"data", data}}}}};
  const Json answer = SendToLog(cluster_->log_address(), "POST",
                                "/v1/streams/settings/records", body.dump());
  return IntField(answer, "status") == 200;
}

std::vector<int> SettingsCalls::all() const {
  std::vector<int> entries;
  entries.reserve(static_cast<size_t>(entries_));
  for (int entry = 0; entry < entries_; ++entry) entries.push_back(entry);
  return entries;
}

}  // namespace thornplank
