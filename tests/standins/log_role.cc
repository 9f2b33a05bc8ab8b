// Implements the calls and the faults of the log service.
#include "standins/log_role.h"

#include <algorithm>
#include <optional>

namespace thornplank::standins {

namespace http = boost::beast::http;

namespace {

constexpr int64_t kDefaultReadRecords = 500;
constexpr double kBurstSeconds = 0.25;

// Name of the stream in a path "/v1/streams/{stream}/records".
std::optional<std::string> StreamName(const std::string& path) {
  const std::string prefix = "/v1/streams/";
  const std::string suffix = "/records";
  if (path.size() <= prefix.size() + suffix.size()) return std::nullopt;
  size_t end = path.size() - suffix.size();
  if (path.rfind(prefix, 0) != 0 || path.substr(end) != suffix) {
    return std::nullopt;
  }
  return path.substr(prefix.size(), end - prefix.size());
}

// The records of an append, or nullptr if one of them lacks an id or data.
const Json* ValidRecords(const Json& body) {
  const Json* records = ArrayField(body, "records");
  if (records == nullptr || records->empty()) return nullptr;
  for (const Json& record : *records) {
    if (!StringField(record, "id") || !ObjectField(record, "data")) {
      return nullptr;
    }
  }
  return records;
}

Reply RetryLaterReply(int status, const std::string& title) {
  Reply reply = ProblemReply(status, title);
  reply.headers.emplace_back("Retry-After", "1");
  return reply;
}

}  // namespace

void TokenBucket::set_rate(int64_t per_second) {
  rate_ = per_second;
  tokens_ = std::max(1.0, static_cast<double>(rate_) * kBurstSeconds);
  last_refill_ = Time();
}

bool TokenBucket::Take(Time now) {
  if (rate_ <= 0) return true;
  double rate = static_cast<double>(rate_);
  double elapsed_seconds =
      std::chrono::duration<double>(now - last_refill_).count();
  tokens_ = std::min(tokens_ + elapsed_seconds * rate,
                     std::max(1.0, rate * kBurstSeconds));
  last_refill_ = now;
  if (tokens_ < 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

LogRole::LogRole(const boost::asio::any_io_executor& executor,
                 const LogRoleSettings& settings)
    : Role(executor), settings_(settings) {
  bucket_.set_rate(settings_.appends_per_second);
}

void LogRole::Handle(ExchangePtr exchange) {
  auto name = StreamName(exchange->path());
  if (!name) return exchange->Answer(ProblemReply(404, "no such resource"));
  if (outage_) return Answer(exchange, RetryLaterReply(503, "outage"));
  Stream& stream = streams_[*name];
  ApplyRetention(stream);
  switch (exchange->request().method()) {
    case http::verb::post:
      return Append(stream, exchange);
    case http::verb::get:
      return Read(stream, exchange);
    default:
      return exchange->Answer(ProblemReply(405, "method not allowed"));
  }
}

void LogRole::Append(Stream& stream, const ExchangePtr& exchange) {
  auto body = ParseJson(exchange->request().body());
  const Json* records = body ? ValidRecords(*body) : nullptr;
  if (records == nullptr) {
    return Answer(exchange, ProblemReply(400, "records: need id and data"));
  }
  Time now = std::chrono::steady_clock::now();
  if (!bucket_.Take(now)) {
    ++counters_.refused;
    return Answer(exchange, RetryLaterReply(429, "too many appends"));
  }
  int64_t time_ms = ToUnixMilliseconds(std::chrono::system_clock::now());
  int64_t first = stream.next_offset();
  for (const Json& record : *records) {
    Json stored = {{"offset", stream.next_offset()},
                   {"time_ms", time_ms},
                   {"id", record["id"]},
                   {"data", record["data"]}};
    stream.records.push_back(
        {now, stored.dump(-1, ' ', false, Json::error_handler_t::replace)});
  }
  int64_t next = stream.next_offset();
  ++counters_.appends;
  counters_.records += next - first;
  counters_.append_bytes +=
      static_cast<int64_t>(exchange->request().body().size());
  AnswerReadyWaiters(stream);
  ApplyRetention(stream);
  if (lose_replies_ > 0) {
    --lose_replies_;
    ++counters_.lost_replies;
    return exchange->Close();
  }
  Answer(exchange, JsonReply({{"first_offset", first}, {"next_offset", next}}));
}

void LogRole::Read(Stream& stream, const ExchangePtr& exchange) {
  Waiter waiter{exchange, exchange->QueryNumber("from", 0),
                exchange->QueryNumber("max", kDefaultReadRecords)};
  Milliseconds wait(exchange->QueryNumber("wait_ms", 0));
  if (waiter.from < stream.next_offset() || wait <= Milliseconds::zero()) {
    return AnswerRead(stream, waiter);
  }
  stream.waiters.push_back(waiter);
  // An append or an outage may have answered and removed the waiter before.
  RunAfter(executor(), wait, [this, &stream, exchange] {
    auto found = std::find_if(
        stream.waiters.begin(), stream.waiters.end(),
        [&](const Waiter& other) { return other.exchange == exchange; });
    if (found == stream.waiters.end()) return;
    Waiter expired = *found;
    stream.waiters.erase(found);
    AnswerRead(stream, expired);
  });
}

void LogRole::AnswerRead(Stream& stream, const Waiter& waiter) {
  ApplyRetention(stream);
  ++counters_.reads;
  int64_t next = stream.next_offset();
  if (waiter.from < stream.first_offset) {
    return Answer(waiter.exchange,
                  JsonReply({{"first_offset", stream.first_offset},
                             {"next_offset", next}},
                            410));
  }
  int64_t end = std::min(next, waiter.from + std::max<int64_t>(waiter.max, 0));
  Reply reply;
  reply.body = "{\"records\":[";
  for (int64_t offset = waiter.from; offset < end; ++offset) {
    if (offset > waiter.from) reply.body += ',';
    reply.body +=
        stream.records[static_cast<size_t>(offset - stream.first_offset)].text;
  }
  reply.body += "],\"first_offset\":" + std::to_string(stream.first_offset) +
                ",\"next_offset\":" + std::to_string(next) + "}";
  counters_.read_bytes += static_cast<int64_t>(reply.body.size());
  Answer(waiter.exchange, std::move(reply));
}

void LogRole::AnswerReadyWaiters(Stream& stream) {
  for (auto it = stream.waiters.begin(); it != stream.waiters.end();) {
    if (it->from >= stream.next_offset()) {
      ++it;
      continue;
    }
    AnswerRead(stream, *it);
    it = stream.waiters.erase(it);
  }
}

void LogRole::ApplyRetention(Stream& stream) {
  auto size_limit = static_cast<size_t>(settings_.retain_records);
  Time now = std::chrono::steady_clock::now();
  while (!stream.records.empty()) {
    bool over_count = size_limit > 0 && stream.records.size() > size_limit;
    bool over_age = settings_.retention > Milliseconds::zero() &&
                    now - stream.records.front().time > settings_.retention;
    if (!over_count && !over_age) return;
    stream.records.pop_front();
    ++stream.first_offset;
  }
}

void LogRole::Answer(const ExchangePtr& exchange, Reply reply) {
  if (delay_ <= Milliseconds::zero()) return exchange->Answer(std::move(reply));
  RunAfter(executor(), delay_,
           [exchange, reply = std::move(reply)] { exchange->Answer(reply); });
}

Json LogRole::ControlState() {
  Json streams = Json::object();
  size_t waiting = 0;
  for (const auto& [name, stream] : streams_) {
    waiting += stream.waiters.size();
    streams[name] = {{"first_offset", stream.first_offset},
                     {"next_offset", stream.next_offset()}};
  }
  return {{"appends", counters_.appends},
          {"records", counters_.records},
          {"append_bytes", counters_.append_bytes},
          {"refused", counters_.refused},
          {"reads", counters_.reads},
          {"read_bytes", counters_.read_bytes},
          {"lost_replies", counters_.lost_replies},
          {"waiting", waiting},
          {"streams", streams}};
}

bool LogRole::ApplyControl(const Json& control, Error* error) {
  if (!HasOnlyFields(control,
                     {"outage", "delay_ms", "lose_replies", "retain_records",
                      "retain_ms", "appends_per_second"},
                     error)) {
    return false;
  }
  ReadField(control, "outage", &outage_);
  ReadField(control, "delay_ms", &delay_);
  ReadField(control, "lose_replies", &lose_replies_);
  ReadField(control, "retain_records", &settings_.retain_records);
  ReadField(control, "retain_ms", &settings_.retention);
  if (auto rate = IntField(control, "appends_per_second")) {
    bucket_.set_rate(*rate);
  }
  for (auto& [name, stream] : streams_) {
    ApplyRetention(stream);
    if (!outage_) continue;
    for (const Waiter& waiter : stream.waiters) {
      Answer(waiter.exchange, RetryLaterReply(503, "outage"));
    }
    stream.waiters.clear();
  }
  return true;
}

}  // namespace thornplank::standins
