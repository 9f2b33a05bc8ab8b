// Encodes calls to the log service and decodes its responses.
#include "platform/log_client.h"

#include <utility>

#include "platform/platform_call.h"

namespace thornplank {
namespace {

constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;

std::string RecordsTarget(const std::string& stream) {
  return "/v1/streams/" + stream + "/records";
}

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

std::optional<LogRecord> DecodeRecord(const Json& item) {
  const auto offset = IntField(item, "offset");
  const auto time = IntField(item, "time_ms");
  const auto id = StringField(item, "id");
  if (!offset || !time || !id || !item.contains("data")) return std::nullopt;
  LogRecord record;
  record.offset = *offset;
  record.time = FromUnixMilliseconds(*time);
  record.id = *id;
  record.data = item["data"];
  return record;
}

std::optional<LogReadResult> DecodeReadResult(const Json& body,
                                              bool truncated) {
  const auto first = IntField(body, "first_offset");
  const auto next = IntField(body, "next_offset");
  if (!first || !next || *first < 0 || *next < *first) return std::nullopt;
  LogReadResult result;
  result.first_offset = *first;
  result.next_offset = *next;
  result.truncated = truncated;
  if (truncated) return result;
  const Json* records = ArrayField(body, "records");
  if (records == nullptr) return std::nullopt;
  result.records.reserve(records->size());
  for (const Json& item : *records) {
    std::optional<LogRecord> record = DecodeRecord(item);
    if (!record) return std::nullopt;
    result.records.push_back(std::move(*record));
  }
  return result;
}

LogAppendOutcome ToAppendOutcome(const PlatformReply& reply,
                                 const std::string& address) {
  LogAppendOutcome outcome;
  outcome.error = reply.error;
  outcome.retry_after = reply.retry_after;
  outcome.rate_capped = reply.status == kTooManyRequests;
  const bool not_sent =
      reply.status == 0 && reply.progress == SendProgress::kNotSent;
  // Any other error status, including a 503 during an outage, does not prove
  // that the batch was not applied.
  outcome.may_be_applied = !outcome.rate_capped && !not_sent;
  if (!reply.ok()) return outcome;
  const auto first = IntField(reply.body, "first_offset");
  if (first && *first >= 0) {
    outcome.result = LogAppendResult{*first};
  } else {
    outcome.error = {"append", address, "the answer has no first_offset"};
  }
  return outcome;
}

}  // namespace

LogClient::LogClient(HttpClient& http, std::string address)
    : http_(http), address_(std::move(address)) {}

void LogClient::Append(const std::string& stream,
                       const std::vector<LogRecord>& records, Duration timeout,
                       AppendCallback callback) {
  TryAppend(stream, records, timeout,
            [callback = std::move(callback)](const LogAppendOutcome& outcome) {
              callback(outcome.result, outcome.error);
            });
}

void LogClient::TryAppend(const std::string& stream,
                          const std::vector<LogRecord>& records,
                          Duration timeout, OutcomeCallback callback) {
  Json items = Json::array();
  for (const LogRecord& record : records) {
    items.push_back({{"id", record.id}, {"data", record.data}});
  }
  PlatformCall call;
  call.step = "append";
  call.address = address_;
  call.method = "POST";
  call.target = RecordsTarget(stream);
  call.body["records"] = std::move(items);
  call.timeout = timeout;
  SendPlatformCall(http_, call,
                   [callback = std::move(callback),
                    address = address_](const PlatformReply& reply) {
                     callback(ToAppendOutcome(reply, address));
                   });
}

void LogClient::Read(const std::string& stream, int64_t from, int max_records,
                     Duration wait, Duration timeout, ReadCallback callback) {
  PlatformCall call;
  call.step = "read log";
  call.address = address_;
  call.target = RecordsTarget(stream) + "?from=" + std::to_string(from) +
                "&max=" + std::to_string(max_records) +
                "&wait_ms=" + std::to_string(ToMilliseconds(wait));
  call.timeout = timeout;
  SendPlatformCall(http_, call,
                   [callback = std::move(callback),
                    address = address_](const PlatformReply& reply) {
                     const bool truncated = reply.status == kGone;
                     if (!reply.ok() && !truncated) {
                       return callback(std::nullopt, reply.error);
                     }
                     std::optional<LogReadResult> result =
                         DecodeReadResult(reply.body, truncated);
                     if (!result) {
                       return callback(std::nullopt, {"read log", address,
                                                      "malformed answer"});
                     }
                     callback(std::move(result), {});
                   });
}

}  // namespace thornplank
