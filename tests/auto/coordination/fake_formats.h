// Formats for tests. The value of a worker's directory record is one of the
// constants below or any other text, which stands for a plain worker.
#ifndef THORNPLANK_TESTS_AUTO_COORDINATION_FAKE_FORMATS_H_
#define THORNPLANK_TESTS_AUTO_COORDINATION_FAKE_FORMATS_H_

#include <optional>
#include <string>
#include <utility>

#include "../workload/workload_fixtures.h"
#include "coordination/formats.h"

namespace thornplank::testing {

inline constexpr char kUnreadable[] = "unreadable";
inline constexpr char kUnknownService[] = "stray";
inline constexpr char kLeaving[] = "leaving";
inline constexpr char kInDomainB[] = "in domain b";
// The worker has two accelerators instead of eight.
inline constexpr char kShrunk[] = "shrunk";
// Followed by the start time of the worker in Unix milliseconds.
inline constexpr char kBornAt[] = "born at ";
// The same for a worker that leaves in kDrainRemaining.
inline constexpr char kLeavingBornAt[] = "leaving, born at ";
inline constexpr Milliseconds kDrainRemaining{800};
// Followed by the worker's clock in milliseconds when it wrote the entry.
inline constexpr char kWrittenAt[] = "written at ";
// Followed by the address of the worker.
inline constexpr char kAtAddress[] = "at ";

class FakeFormats : public Formats {
 public:
  PublishedStreams streams() const override {
    return {{"keyed.op", 0}, "config", {"keyed.servers", 0}};
  }
  std::optional<ServingConfiguration> ReadConfiguration(const std::string&,
                                                        Error*) const override {
    return ServingConfiguration();
  }
  std::string ClosedDomainOf(const std::string&) const override { return ""; }
  std::optional<WorkerRegistration> ReadWorker(const KeyedRecord& record,
                                               Error*) const override {
    if (record.value == kUnreadable) return std::nullopt;
    WorkerRegistration worker = MakeWorker(record.key, "r1");
    if (record.value == kUnknownService) worker.service = kUnknownService;
    const std::optional<std::string> leaving =
        TextAfter(kLeavingBornAt, *record.value);
    worker.draining = record.value == kLeaving || leaving;
    if (leaving) worker.drain_remaining = kDrainRemaining;
    worker.failure_domain = record.value == kInDomainB ? "b" : "a";
    if (record.value == kShrunk) worker.capacity.accelerators = 2;
    const std::optional<std::string> born =
        leaving ? leaving : TextAfter(kBornAt, *record.value);
    if (born) {
      worker.incarnation_start.time = FromUnixMilliseconds(std::stoll(*born));
    }
    if (const auto clock = TextAfter(kWrittenAt, *record.value)) {
      worker.written = Milliseconds(std::stoll(*clock));
    }
    if (auto address = TextAfter(kAtAddress, *record.value)) {
      worker.address = *std::move(address);
    }
    return worker;
  }
  CallerHeaders ReadHeaders(const HttpRequest&) const override { return {}; }
  std::optional<JobDefinition> ReadJob(const std::string&,
                                       Error*) const override {
    return std::nullopt;
  }
  HttpResponse JobStateResponse(JobState, const std::string&) const override {
    return {};
  }
  HttpResponse QueueLengthResponse(int64_t) const override { return {}; }

 private:
  // Nullopt if the text does not begin with `prefix`.
  static std::optional<std::string> TextAfter(const std::string& prefix,
                                              const std::string& text) {
    if (text.rfind(prefix, 0) != 0) return std::nullopt;
    return text.substr(prefix.size());
  }
};

}  // namespace thornplank::testing

#endif  // THORNPLANK_TESTS_AUTO_COORDINATION_FAKE_FORMATS_H_
