// Open-loop load: requests leave at their planned times, whether or not
// earlier ones were answered.
#ifndef THORNPLANK_LOADGEN_LOAD_GENERATOR_H_
#define THORNPLANK_LOADGEN_LOAD_GENERATOR_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "history/history_record.h"

namespace thornplank {

class HttpClient;
class IoPool;

// One client account that sends.
struct LoadAccount {
  std::string account;
  std::string token;
  // Share of all requests, relative to the other accounts.
  double share = 1;
};

struct LoadSettings {
  std::vector<std::string> entries;
  // One per entry, relative; empty means even.
  std::vector<double> entry_weights;
  std::vector<LoadAccount> accounts;
  std::string service = "claims";
  // Sends to the entries as if they were executors: no account, no outcome.
  bool direct = false;
  // Requests a second, evenly spread.
  double rate = 100;
  Milliseconds duration{5000};
  // This many more at once, at `burst_at`.
  int burst = 0;
  Milliseconds burst_at{1000};
  double non_idempotent_share = 0;
  // Share of the non-idempotent requests that are sent to two entries at the
  // same moment, under one key.
  double repeat_share = 0;
  Milliseconds deadline{2000};
  size_t body_bytes = 200;
  size_t max_connections_per_entry = 512;
  uint64_t seed = 1;
  // Part of every id, so that histories of several tools can be joined.
  std::string name = "load";
};

class LoadGenerator {
 public:
  LoadGenerator(IoPool& pool, LoadSettings settings);
  ~LoadGenerator();

  // Runs the whole load and waits for every answer or its deadline.
  std::vector<HistoryRecord> Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOADGEN_LOAD_GENERATOR_H_
