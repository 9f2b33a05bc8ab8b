// One line of a history: what a caller asked and what it was told.
#ifndef THORNPLANK_HISTORY_HISTORY_RECORD_H_
#define THORNPLANK_HISTORY_HISTORY_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/json.h"

namespace thornplank {

// What a caller was told of its request.
enum class Outcome {
  kAnswered,
  kNotRun,
  kUnknown,
  // The connection ended without an answer; the caller knows nothing.
  kNoAnswer,
};

std::string OutcomeName(Outcome outcome);
std::optional<Outcome> ParseOutcome(const std::string& name);

struct HistoryRecord {
  // Unique per request sent; part of its body.
  std::string id;
  // Set for non-idempotent requests; attempts of one payment share it.
  std::string key;
  // BodyDigest of the request; the executors record the same of what they run.
  std::string digest;
  std::string account;
  std::string entry;
  Outcome outcome = Outcome::kNoAnswer;
  int status = 0;
  // The `echo` of the answer held the request's own body.
  bool own_answer = false;
  int64_t sent_us = 0;
  int64_t latency_us = 0;
};

Json ToJson(const HistoryRecord& record);
std::optional<HistoryRecord> ParseHistoryRecord(const Json& value);

// One run as an executor recorded it.
struct RunRecord {
  std::string executor;
  std::string key;
  std::string digest;
};

// xxhash64 of a request body, seed 0, 16 hexadecimal digits.
std::string BodyDigest(const std::string& body);

// Reads one JSON object a line.
std::optional<std::vector<HistoryRecord>> ReadHistory(const std::string& path,
                                                      Error* error);
// Reads {"runs":[{"executor","key","digest"},...]}.
std::optional<std::vector<RunRecord>> ReadRuns(const std::string& path,
                                               Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_HISTORY_HISTORY_RECORD_H_
