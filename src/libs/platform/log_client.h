// The client of the platform's log service: append and read, one call each.
//
// See docs/PROTOCOLS.md for the wire form. Retries, ordering and duplicates
// are the business of StreamWriter and StreamFollower.
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

// One record of a stream. `id` is unique for ever; a reader ignores a record
// whose id it has already folded.
struct LogRecord {
  int64_t offset = -1;
  // The log service's own clock at the append.
  WallTime time;
  std::string id;
  Json data;
};

struct LogAppendResult {
  int64_t first_offset = -1;
};

// How one append ended, in full.
struct LogAppendOutcome {
  // Set when the service confirmed the append.
  std::optional<LogAppendResult> result;
  Error error;
  // Without a result: the batch may have been applied all the same.
  bool may_be_applied = false;
  // The service refused because of its rate cap.
  bool rate_capped = false;
  // As the service asked, else zero.
  Duration retry_after = Duration::zero();
};

struct LogReadResult {
  std::vector<LogRecord> records;
  // The oldest offset still kept.
  int64_t first_offset = 0;
  // The offset that the next append will get.
  int64_t next_offset = 0;
  // `from` was older than first_offset: records were lost to retention.
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

  // Appends all of `records` (id and data are used) as one batch. After an
  // error the batch may still have been applied.
  void Append(const std::string& stream, const std::vector<LogRecord>& records,
              Duration timeout, AppendCallback callback);
  // The same, telling what a retry needs to know.
  void TryAppend(const std::string& stream,
                 const std::vector<LogRecord>& records, Duration timeout,
                 OutcomeCallback callback);
  // Reads from `from` on, waiting up to `wait` when nothing is there yet.
  void Read(const std::string& stream, int64_t from, int max_records,
            Duration wait, Duration timeout, ReadCallback callback);

 private:
  HttpClient& http_;
  std::string address_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_LOG_CLIENT_H_
