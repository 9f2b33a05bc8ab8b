// Implements the calls and faults of the users' store.
#include "standins/users_store_role.h"

#include <algorithm>
#include <utility>

#include "platform/metadata_store.h"

namespace thornplank::standins {

namespace {

constexpr Milliseconds kReaderPollInterval{10};
constexpr char kExecutorsTopic[] = "keyed.servers";
constexpr char kOperatorTopic[] = "keyed.op";

std::string QueryText(const HttpRequest& request, const std::string& name) {
  const std::string target(request.target());
  const size_t query = target.find('?');
  if (query == std::string::npos) return "";
  const std::string text = "&" + target.substr(query + 1) + "&";
  const size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) return "";
  const size_t from = at + name.size() + 2;
  return text.substr(from, text.find('&', from) - from);
}

Partition PartitionOf(const Exchange& exchange) {
  return {QueryText(exchange.request(), "topic"),
          static_cast<int>(exchange.QueryNumber("part", 0))};
}

std::string BigEndian(int64_t value, int bytes) {
  std::string text;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    text += static_cast<char>(value >> shift & 0xff);
  }
  return text;
}

// The records of a request body.
std::vector<KeyedRecord> Decode(const std::string& body) {
  std::vector<KeyedRecord> records;
  DecodeRecords(body, 0, &records);
  return records;
}

std::string Base64(const std::string& bytes) {
  constexpr char kLetters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t count = std::min<size_t>(3, bytes.size() - i);
    for (size_t j = 0; j < 3; ++j) {
      group <<= 8;
      if (j < count) group |= static_cast<unsigned char>(bytes[i + j]);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += j <= count ? kLetters[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

size_t SizeField(const Json& object, const std::string& name, size_t value) {
  return static_cast<size_t>(
      IntField(object, name).value_or(static_cast<int64_t>(value)));
}

Reply AppendReply(const AppendResult& result) {
  switch (result.outcome) {
    case StoreOutcome::kStored:
      return JsonReply({{"offset", result.offset}, {"end", result.end}});
    case StoreOutcome::kFenced:
      return JsonReply({{"reason", "fenced"}}, 409);
    case StoreOutcome::kOutOfSequence:
      return JsonReply({{"reason", "seq"}, {"seq", result.expected_sequence}},
                       409);
    case StoreOutcome::kRejected:
      return ProblemReply(413, "too large");
    case StoreOutcome::kRefused:
    case StoreOutcome::kUnknown:
      break;
  }
  return ProblemReply(503, "refused");
}

}  // namespace

UsersStoreRole::UsersStoreRole(const boost::asio::any_io_executor& executor,
                               UsersStoreSettings settings)
    : Role(executor), settings_(std::move(settings)), timer_(executor) {
  AnswerDueReads();
}

void UsersStoreRole::Publish(const std::string& id,
                             std::optional<std::string> entry) {
  boost::asio::post(executor(), [this, id, entry = std::move(entry)] {
    if (mode_ != "up") return;
    AppendRequest request;
    request.partition = {kExecutorsTopic, 0};
    request.records = {{id, entry, 0}};
    model_.Append(request);
  });
}

bool UsersStoreRole::IsSelected(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void UsersStoreRole::Handle(ExchangePtr exchange) {
  ++calls_;
  if (mode_ == "silent") return;
  if (mode_ == "busy") return exchange->Answer(ProblemReply(503, "busy"));
  RunAfter(executor(), settings_.answer_time + extra_answer_time_,
           [this, exchange] {
             if (mode_ != "up") return;
             const std::string path = exchange->path();
             if (path == "/v1/log-append") return Append(exchange);
             if (path == "/v1/log-read") return Read(exchange);
             if (path == "/v1/log-newest") return ReadNewest(exchange);
             exchange->Answer(ProblemReply(404, "no such call"));
           });
}

bool UsersStoreRole::HasLateKey(const AppendRequest& request) const {
  return std::any_of(
      request.records.begin(), request.records.end(),
      [this](const KeyedRecord& record) { return record.key == late_key_; });
}

void UsersStoreRole::Append(const ExchangePtr& exchange) {
  AppendRequest request;
  request.partition = PartitionOf(*exchange);
  request.records = Decode(exchange->request().body());
  const std::string producer = QueryText(exchange->request(), "producer");
  if (!producer.empty()) {
    request.producer =
        ProducerPosition{producer, exchange->QueryNumber("epoch", 0),
                         exchange->QueryNumber("seq", 0)};
  }
  if (IsSelected(late_share_) || HasLateKey(request)) {
    return RunAfter(executor(), late_delay_,
                    [this, request] { model_.Append(request); });
  }
  const AppendResult result = model_.Append(request);
  if (IsSelected(lost_share_)) return;
  exchange->Answer(AppendReply(result));
}

void UsersStoreRole::Read(const ExchangePtr& exchange) {
  const Partition partition = PartitionOf(*exchange);
  const int64_t from = exchange->QueryNumber("from", 0);
  const Milliseconds wait(exchange->QueryNumber("wait_ms", 0));
  if (wait.count() > 0 && model_.end(partition) <= from) {
    waiting_reads_.push_back(
        {exchange, partition, from, std::chrono::steady_clock::now() + wait});
    return;
  }
  AnswerRead(exchange, partition, from);
}

void UsersStoreRole::AnswerRead(const ExchangePtr& exchange,
                                const Partition& partition, int64_t from) {
  const ReadResult result = model_.Read(partition, from);
  if (result.outcome == ReadOutcome::kTrimmed) {
    return exchange->Answer(JsonReply({{"first", result.end}}, 410));
  }
  Reply reply;
  reply.content_type = "application/octet-stream";
  reply.body = BigEndian(result.end, 8) + BigEndian(0, 8) +
               EncodeRecords(result.records);
  exchange->Answer(std::move(reply));
}

void UsersStoreRole::AnswerDueReads() {
  const Time now = std::chrono::steady_clock::now();
  for (auto it = waiting_reads_.begin(); it != waiting_reads_.end();) {
    const auto read = it++;
    if (mode_ == "silent") continue;
    const bool ready = model_.end(read->partition) > read->from;
    if (!ready && now < read->deadline) continue;
    AnswerRead(read->exchange, read->partition, read->from);
    waiting_reads_.erase(read);
  }
  timer_.expires_after(kReaderPollInterval);
  timer_.async_wait([this](boost::system::error_code code) {
    if (!code) AnswerDueReads();
  });
}

void UsersStoreRole::ReadNewest(const ExchangePtr& exchange) {
  const NewestPage page = model_.ReadNewest(
      PartitionOf(*exchange), QueryText(exchange->request(), "depends_on"));
  Json items = Json::array();
  for (const KeyedRecord& record : page.records) {
    items.push_back({{"key", record.key},
                     {"value", Base64(record.value.value_or(""))},
                     {"offset", record.offset}});
  }
  exchange->Answer(JsonReply({{"items", std::move(items)},
                              {"has_more", page.has_more},
                              {"end", page.end}}));
}

Json UsersStoreRole::ControlState() {
  return {{"mode", mode_}, {"calls", calls_}};
}

bool UsersStoreRole::ApplyControl(const Json& control, Error* error) {
  if (!HasOnlyFields(
          control,
          {"mode", "slow_ms", "lost_percent", "late_percent", "late_ms",
           "late_key", "drop_history", "put_operator", "drop_operator",
           "put_directory", "key", "record_bytes", "call_bytes"},
          error)) {
    return false;
  }
  mode_ = StringField(control, "mode").value_or(mode_);
  ReadField(control, "slow_ms", &extra_answer_time_);
  lost_share_ =
      NumberField(control, "lost_percent").value_or(lost_share_ * 100) / 100;
  late_share_ =
      NumberField(control, "late_percent").value_or(late_share_ * 100) / 100;
  ReadField(control, "late_ms", &late_delay_);
  late_key_ = StringField(control, "late_key").value_or(late_key_);
  limits_.record_bytes =
      SizeField(control, "record_bytes", limits_.record_bytes);
  limits_.append_bytes = SizeField(control, "call_bytes", limits_.append_bytes);
  model_.set_limits(limits_);
  if (BoolField(control, "drop_history").value_or(false)) model_.DropHistory();
  const std::string key = StringField(control, "key").value_or("config");
  if (const auto value = StringField(control, "put_operator")) {
    PutRecord(kOperatorTopic, key, *value);
  }
  if (const auto dropped = StringField(control, "drop_operator")) {
    PutRecord(kOperatorTopic, *dropped, std::nullopt);
  }
  if (const auto value = StringField(control, "put_directory")) {
    PutRecord(kExecutorsTopic, key, *value);
  }
  return true;
}

void UsersStoreRole::PutRecord(const std::string& topic, const std::string& key,
                               const std::optional<std::string>& value) {
  AppendRequest request;
  request.partition = {topic, 0};
  request.records = {{key, value, 0}};
  model_.Append(request);
}

}  // namespace thornplank::standins
