// Reads /proc/self/statm and getrusage.
#include "metrics/process_metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace thornplank {
namespace {

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return static_cast<double>(resident_pages) *
         static_cast<double>(::sysconf(_SC_PAGESIZE));
}

double Seconds(const timeval& time) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
}

double CpuSeconds() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  return Seconds(usage.ru_utime) + Seconds(usage.ru_stime);
}

}  // namespace

void AddProcessMetrics(MetricsRegistry& metrics) {
  metrics.AddGauge("process_resident_memory_bytes", "Resident memory.", {},
                   ResidentBytes);
  metrics.AddCounter("process_cpu_seconds_total",
                     "Processor time, user and system.", {}, CpuSeconds);
}

}  // namespace thornplank
