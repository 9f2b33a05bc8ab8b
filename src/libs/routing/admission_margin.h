// Safety factor for the expected wait in admission control.
//
// The wait is estimated from the entry's current share of the slots, which
// changes. Each admitted request that is refused later raises the factor, each
// one that is sent lowers it a little, so that late refusals converge to a
// target share.
#ifndef THORNPLANK_ROUTING_ADMISSION_MARGIN_H_
#define THORNPLANK_ROUTING_ADMISSION_MARGIN_H_

namespace thornplank {

class AdmissionMargin {
 public:
  // The expected wait is multiplied by this; at least 1.
  double factor() const { return factor_; }
  // A request was refused after it had waited.
  void RecordLateRefusal();
  // A request was sent in time after it had waited.
  void RecordSent();

 private:
  double factor_ = 1.1;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_ADMISSION_MARGIN_H_
