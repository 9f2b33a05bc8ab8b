// Conversion of history records to and from JSON.
#include "history/history_record.h"

#include <xxhash.h>

#include <array>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace thornplank {
namespace {

struct NamedOutcome {
  Outcome outcome;
  const char* name;
};

constexpr std::array<NamedOutcome, 4> kOutcomes = {{
    {Outcome::kAnswered, "answered"},
    {Outcome::kNotRun, "not-run"},
    {Outcome::kUnknown, "unknown"},
    {Outcome::kNoAnswer, "no-answer"},
}};

}  // namespace

std::string BodyDigest(const std::string& body) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0')
       << XXH64(body.data(), body.size(), 0);
  return text.str();
}

std::string OutcomeName(Outcome outcome) {
  for (const NamedOutcome& named : kOutcomes) {
    if (named.outcome == outcome) return named.name;
  }
  return "no-answer";
}

std::optional<Outcome> ParseOutcome(const std::string& name) {
  for (const NamedOutcome& named : kOutcomes) {
    if (name == named.name) return named.outcome;
  }
  return std::nullopt;
}

Json ToJson(const HistoryRecord& record) {
  return {{"id", record.id},           {"key", record.key},
          {"digest", record.digest},   {"account", record.account},
          {"entry", record.entry},     {"outcome", OutcomeName(record.outcome)},
          {"status", record.status},   {"own_answer", record.own_answer},
          {"sent_us", record.sent_us}, {"latency_us", record.latency_us}};
}

std::optional<HistoryRecord> ParseHistoryRecord(const Json& value) {
  const std::optional<std::string> id = StringField(value, "id");
  const std::optional<Outcome> outcome =
      ParseOutcome(StringField(value, "outcome").value_or(""));
  if (!id.has_value() || !outcome.has_value()) return std::nullopt;
  HistoryRecord record;
  record.id = *id;
  record.outcome = *outcome;
  record.key = StringField(value, "key").value_or("");
  record.digest = StringField(value, "digest").value_or("");
  record.account = StringField(value, "account").value_or("");
  record.entry = StringField(value, "entry").value_or("");
  record.status = static_cast<int>(IntField(value, "status").value_or(0));
  record.own_answer = BoolField(value, "own_answer").value_or(false);
  record.sent_us = IntField(value, "sent_us").value_or(0);
  record.latency_us = IntField(value, "latency_us").value_or(0);
  return record;
}

std::optional<std::vector<HistoryRecord>> ReadHistory(const std::string& path,
                                                      Error* error) {
  std::ifstream file(path);
  if (!file) {
    SetError(error, "read history", path, "cannot be opened");
    return std::nullopt;
  }
  std::vector<HistoryRecord> records;
  for (std::string line; std::getline(file, line);) {
    if (line.empty()) continue;
    const std::optional<Json> value = ParseJson(line);
    std::optional<HistoryRecord> record =
        value.has_value() ? ParseHistoryRecord(*value) : std::nullopt;
    if (!record.has_value()) {
      SetError(error, "read history", path,
               "line " + std::to_string(records.size() + 1) +
                   " is not a history record");
      return std::nullopt;
    }
    records.push_back(std::move(*record));
  }
  return records;
}

std::optional<std::vector<RunRecord>> ReadRuns(const std::string& path,
                                               Error* error) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  const std::optional<Json> value = ParseJson(text.str());
  const Json* runs = value.has_value() ? ArrayField(*value, "runs") : nullptr;
  if (!file || runs == nullptr) {
    SetError(error, "read runs", path,
             "is not a JSON object with an array 'runs'");
    return std::nullopt;
  }
  std::vector<RunRecord> records;
  for (const Json& run : *runs) {
    records.push_back({StringField(run, "executor").value_or(""),
                       StringField(run, "key").value_or(""),
                       StringField(run, "digest").value_or("")});
  }
  return records;
}

}  // namespace thornplank
