// Open-loop load of requests: each is sent at its planned time, whether or not
// earlier ones have been answered.
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

// A client account that sends requests.
struct LoadAccount {
  std::string account;
  std::string token;
  // Share of all requests, relative to the other accounts.
  double share = 1;
};

struct LoadSettings {
  std::vector<std::string> entries;
  // Relative share of the requests, one per entry; empty for equal shares.
  std::vector<double> entry_weights;
  std::vector<LoadAccount> accounts;
  std::string service = "claims";
  // Sends to `entries` as executors: without the service path, and an answer
  // carries no outcome, which is derived from its status.
  bool direct = false;
  // Requests per second, evenly spaced over `duration`.
  double rate = 100;
  Milliseconds duration{5000};
  // Number of additional requests that are all sent at `burst_at`.
  int burst = 0;
  Milliseconds burst_at{1000};
  double non_idempotent_share = 0;
  // Share of the non-idempotent requests that are sent to two entries at the
  // same time, with the same key.
  double repeat_share = 0;
  Milliseconds deadline{2000};
  size_t body_bytes = 200;
  size_t max_connections_per_entry = 512;
  uint64_t seed = 1;
  // Part of every request id, so that the histories of several load generators
  // can be merged.
  std::string name = "load";
};

class LoadGenerator {
 public:
  LoadGenerator(IoPool& pool, LoadSettings settings);
  ~LoadGenerator();

  // Sends the whole load and waits until every request is answered or times
  // out.
  std::vector<HistoryRecord> Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOADGEN_LOAD_GENERATOR_H_
