// Client of the platform's log service: append and read, one call each.
//
// See docs/PROTOCOLS.md for the wire format. StreamWriter and StreamFollower
// handle retries, ordering and duplicates.
#ifndef THORNPLANK_PLATFORM_LOG_CLIENT_H_
#define THORNPLANK_PLATFORM_LOG_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "base/time.h"

namespace thornplank {

class HttpClient;

// One record of a stream. `id` is never reused; readers ignore a record whose
// id they have already applied.
struct LogRecord {
  int64_t offset = -1;
  // Time of the append by the log service's clock.
  WallTime time;
  std::string id;
  Json data;
};

struct LogAppendResult {
  int64_t first_offset = -1;
};

// The detailed outcome of one append.
struct LogAppendOutcome {
  // Set when the service confirmed the append.
  std::optional<LogAppendResult> result;
  Error error;
  // When `result` is not set: whether the batch may have been applied.
  bool may_be_applied = false;
  // The service rejected the append because of its rate limit.
  bool rate_capped = false;
  // The delay requested by the service, or zero.
  Duration retry_after = Duration::zero();
};

struct LogReadResult {
  std::vector<LogRecord> records;
  // The oldest retained offset.
  int64_t first_offset = 0;
  // The offset of the next record to be appended.
  int64_t next_offset = 0;
  // `from` was below first_offset: records before first_offset were removed by
  // retention.
  bool truncated = false;
};

class LogClient {
 public:
  using AppendCallback =
      std::function<void(std::optional<LogAppendResult>, const Error&)>;
  using OutcomeCallback = std::function<void(const LogAppendOutcome&)>;
  using ReadCallback =
      std::function<void(std::optional<LogReadResult>, const Error&)>;

  LogClient(HttpClient& http, std::string address);

  // Appends `records` as one batch; only their id and data are used. After an
  // error the batch may still have been applied.
  void Append(const std::string& stream, const std::vector<LogRecord>& records,
              Duration timeout, AppendCallback callback);
  // Like Append, but reports what a caller needs to decide about a retry.
  void TryAppend(const std::string& stream,
                 const std::vector<LogRecord>& records, Duration timeout,
                 OutcomeCallback callback);
  // Reads up to `max_records` records from offset `from`, waiting up to `wait`
  // for the first one.
  void Read(const std::string& stream, int64_t from, int max_records,
            Duration wait, Duration timeout, ReadCallback callback);

 private:
  HttpClient& http_;
  std::string address_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_LOG_CLIENT_H_
