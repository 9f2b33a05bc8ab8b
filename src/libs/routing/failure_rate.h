// Exponentially weighted share of failed attempts.
#ifndef THORNPLANK_ROUTING_FAILURE_RATE_H_
#define THORNPLANK_ROUTING_FAILURE_RATE_H_

namespace thornplank {

class FailureRate {
 public:
  // `weight` is the weight of a new attempt in the average once there are many;
  // the first attempts weigh more.
  explicit FailureRate(double weight) : weight_(weight) {}
  // `failed` is 0 for a success, 1 for a failure, and a value in between for a
  // failure that may have another cause.
  void Add(double failed);
  double value() const { return value_; }
  int samples() const { return samples_; }

 private:
  double weight_;
  double value_ = 0;  // 0 to 1
  int samples_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_FAILURE_SHARE_H_
