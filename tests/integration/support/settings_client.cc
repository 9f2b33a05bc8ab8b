// Requests to the operators' API and to the log service.
#include "settings_client.h"

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

SettingsClient::SettingsClient(TestCluster* cluster, int entries)
    : cluster_(cluster), entries_(entries) {}

PutResult SettingsClient::Put(int entry, const std::string& path,
                              const Json& own_values, int64_t version) {
  HttpHeaders headers;
  headers.Set("If-Match", '"' + std::to_string(version) + '"');
  const auto response =
      cluster_->Call(entry, "PUT", "/v1/settings/" + path, own_values, headers);
  PutResult result;
  if (!response.has_value()) return result;
  result.status = response->status;
  result.outcome = response->headers.Value("Thornplank-Outcome");
  result.has_retry_after = response->headers.Has("Retry-After");
  result.body = ParseJson(response->body).value_or(Json::object());
  const Json* current = ObjectField(result.body, "current");
  result.version =
      IntField(current == nullptr ? result.body : *current, "version")
          .value_or(-1);
  result.offset = IntField(result.body, "offset").value_or(-1);
  return result;
}

PutResult SettingsClient::PutUntilAccepted(int entry, const std::string& path,
                                           const Json& own_values) {
  PutResult result;
  TestCluster::Eventually([&] {
    result = Put(entry, path, own_values, Version(entry, path));
    return result.status == 200;
  });
  return result;
}

int64_t SettingsClient::Version(int entry, const std::string& path) {
  const auto response = cluster_->Call(entry, "GET", "/v1/settings/" + path);
  if (!response.has_value()) return 0;
  const std::string tag = response->headers.Value("ETag");
  return tag.size() < 2 ? 0 : std::atoll(tag.c_str() + 1);
}

Json SettingsClient::Node(int entry, const std::string& path, bool explain) {
  return cluster_->CallJson(
      entry, "GET", "/v1/settings/" + path + (explain ? "?explain=1" : ""));
}

Json SettingsClient::History(int entry, const std::string& path) {
  const Json answer =
      cluster_->CallJson(entry, "GET", "/v1/settings-history?path=" + path);
  const Json* history = ArrayField(answer, "history");
  return history == nullptr ? Json::array() : *history;
}

Json SettingsClient::State(int entry, const std::vector<std::string>& paths) {
  Json state = Json::object();
  for (const std::string& path : paths) {
    Json node = Node(entry, path);
    node.erase("offset");
    state[path] = {{"node", node}, {"history", History(entry, path)}};
  }
  return state;
}

bool SettingsClient::AwaitState(const std::vector<int>& entries,
                                const std::vector<std::string>& paths,
                                const Json& expected) {
  for (const int entry : entries) {
    const bool same = TestCluster::Eventually(
        [&] { return State(entry, paths) == expected; });
    if (!same) return false;
  }
  return true;
}

int64_t SettingsClient::Offset(int entry) {
  const Json status = cluster_->CallJson(entry, "GET", "/v1/status");
  const Json* offsets = ObjectField(status, "offsets");
  return offsets == nullptr ? -1 : IntField(*offsets, "settings").value_or(-1);
}

Json SettingsClient::LogRecords(const std::string& stream) {
  const std::string address = cluster_->log_address();
  Json answer = SendToLog(address, "GET", ReadTarget(stream, 0), "");
  constexpr int kGone = 410;
  if (IntField(answer, "status") != kGone) return answer;
  return SendToLog(
      address, "GET",
      ReadTarget(stream, IntField(answer, "first_offset").value_or(0)), "");
}

Json SettingsClient::NewestSnapshot() {
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

bool SettingsClient::AwaitSnapshotAcrossGap(int64_t covers_at_least) {
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

bool SettingsClient::AppendToLog(const std::string& id, const Json& data) {
  const Json body = {{"records", {{{"id", id}, {"data", data}}}}};
  const Json answer = SendToLog(cluster_->log_address(), "POST",
                                "/v1/streams/settings/records", body.dump());
  return IntField(answer, "status") == 200;
}

std::vector<int> SettingsClient::all() const {
  std::vector<int> entries;
  entries.reserve(static_cast<size_t>(entries_));
  for (int entry = 0; entry < entries_; ++entry) entries.push_back(entry);
  return entries;
}

}  // namespace thornplank
