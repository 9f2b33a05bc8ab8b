// Raises the factor on late refusals and lowers it on requests sent in time.
#include "routing/admission_margin.h"

#include <algorithm>

namespace thornplank {
namespace {

constexpr double kStep = 0.02;
// Share of late refusals among the requests that waited at which the factor
// is stable.
constexpr double kTargetLateShare = 0.003;
constexpr double kMaxFactor = 4.0;

}  // namespace

void AdmissionMargin::RecordLateRefusal() {
  factor_ = std::min(kMaxFactor, factor_ + kStep);
}

void AdmissionMargin::RecordSent() {
  factor_ = std::max(1.0, factor_ - kStep * kTargetLateShare);
}

}  // namespace thornplank
