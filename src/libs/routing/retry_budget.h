// Token bucket that limits retries to a percentage of fresh requests.
//
// Each fresh request adds a fraction of a token, each retry consumes one token.
// When all attempts fail, their number stays below (1 + percent / 100) times
// the number of requests, plus the initial tokens.
#ifndef THORNPLANK_ROUTING_RETRY_BUDGET_H_
#define THORNPLANK_ROUTING_RETRY_BUDGET_H_

namespace thornplank {

class RetryBudget {
 public:
  explicit RetryBudget(double percent);
  void set_percent(double percent) { percent_ = percent; }
  // Adds the fraction of a token that a fresh request earns.
  void RecordFreshRequest();
  bool available() const { return tokens_ >= 1.0; }
  // Consumes one token; to be called only when available().
  void ConsumeToken();

 private:
  double percent_;
  // Between 0 and the capacity of the bucket.
  double tokens_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_RETRY_BUDGET_H_
