// Keeps the metrics that were looked up.
#include "metrics/call_meter.h"

namespace thornplank {

CallMeter::CallMeter(std::string name, std::string help,
                     MetricsRegistry& metrics)
    : name_(std::move(name)), help_(std::move(help)), metrics_(metrics) {}

void CallMeter::Record(const char* call, const char* outcome, Time begun) {
  Counter*& counter = counters_[{call, outcome}];
  if (counter == nullptr) {
    counter = &metrics_.counter(name_ + "_calls_total", help_,
                                {{"call", call}, {"outcome", outcome}});
  }
  counter->Add();
  Histogram*& histogram = histograms_[call];
  if (histogram == nullptr) {
    histogram =
        &metrics_.histogram(name_ + "_call_seconds", help_, {{"call", call}});
  }
  histogram->Observe(std::chrono::steady_clock::now() - begun);
}

}  // namespace thornplank
