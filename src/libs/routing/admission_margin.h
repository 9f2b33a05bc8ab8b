// By how much admission overestimates the wait, learned from its mistakes.
//
// The wait is estimated from the present share, which changes. Each admitted
// request that is then given up on raises the factor, each one that is sent
// lowers it a little, so that late refusals settle at a set share.
#ifndef THORNPLANK_ROUTING_ADMISSION_MARGIN_H_
#define THORNPLANK_ROUTING_ADMISSION_MARGIN_H_

namespace thornplank {

class AdmissionMargin {
 public:
  // By what the estimated wait is multiplied; at least 1.
  double factor() const { return factor_; }
  // A request was given up on after it had waited.
  void RecordLateRefusal();
  // A request that had waited was sent in time.
  void RecordSent();

 private:
  double factor_ = 1.1;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_ADMISSION_MARGIN_H_
