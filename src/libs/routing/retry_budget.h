// Limits retries to a share of fresh requests.
//
// A token bucket: each fresh request adds a fraction of a token, each retry
// takes a whole one. When everything fails, the attempts stay below
// (1 + share) times the requests, plus the few tokens of the beginning.
#ifndef THORNPLANK_ROUTING_RETRY_BUDGET_H_
#define THORNPLANK_ROUTING_RETRY_BUDGET_H_

namespace thornplank {

class RetryBudget {
 public:
  explicit RetryBudget(double percent);
  void set_percent(double percent) { percent_ = percent; }
  // Earns the part of a retry that a fresh request allows.
  void RecordFreshRequest();
  bool available() const { return tokens_ >= 1.0; }
  // Takes one token; to be called only when available().
  void ConsumeToken();

 private:
  double percent_;
  // Between 0 and the capacity of the bucket.
  double tokens_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_RETRY_BUDGET_H_
