// Records of a history: the requests that callers sent with the outcomes that
// they received, and the runs that executors recorded.
#ifndef THORNPLANK_HISTORY_HISTORY_RECORD_H_
#define THORNPLANK_HISTORY_HISTORY_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/json.h"

namespace thornplank {

// The outcome of a request as its caller received it.
enum class Outcome {
  kAnswered,
  kNotRun,
  kUnknown,
  // The connection ended without an answer.
  kNoAnswer,
};

std::string OutcomeName(Outcome outcome);
std::optional<Outcome> ParseOutcome(const std::string& name);

struct HistoryRecord {
  // Unique per request and part of its body; repeats of a request share it.
  std::string id;
  // Idempotency key, set for non-idempotent requests; all attempts of one
  // payment share it.
  std::string key;
  // BodyDigest() of the request; executors record the same digest of each run.
  std::string digest;
  std::string account;
  std::string entry;
  Outcome outcome = Outcome::kNoAnswer;
  int status = 0;
  // Whether the field `echo` of the answer contains the request's own body.
  bool own_answer = false;
  int64_t sent_us = 0;
  int64_t latency_us = 0;
};

Json ToJson(const HistoryRecord& record);
std::optional<HistoryRecord> ParseHistoryRecord(const Json& value);

// One run of a request as an executor recorded it.
struct RunRecord {
  std::string executor;
  std::string key;
  std::string digest;
};

// Returns the XXH64 hash of a request body, with seed 0, as 16 hexadecimal
// digits.
std::string BodyDigest(const std::string& body);

// Reads a file with one JSON object per line.
std::optional<std::vector<HistoryRecord>> ReadHistory(const std::string& path,
                                                      Error* error);
// Reads a file of the form {"runs":[{"executor","key","digest"},...]}.
std::optional<std::vector<RunRecord>> ReadRuns(const std::string& path,
                                               Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_HISTORY_HISTORY_RECORD_H_
