// A strict parser of the text format of metrics, as a scraper reads it.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_METRICS_TEXT_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_METRICS_TEXT_H_

#include <map>
#include <string>
#include <vector>

namespace thornplank {

struct MetricSample {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;
};

class MetricsText {
 public:
  // Violations of the format are listed in errors().
  explicit MetricsText(const std::string& text);

  const std::vector<MetricSample>& samples() const { return samples_; }
  const std::vector<std::string>& errors() const { return errors_; }
  // The type of each family: counter, gauge, summary or histogram.
  const std::map<std::string, std::string>& types() const { return types_; }

  // The sum of all samples of this name that have at least these labels.
  double Sum(const std::string& name,
             const std::map<std::string, std::string>& labels = {}) const;

 private:
  void ReadComment(const std::string& line);
  void ReadSample(const std::string& line);
  // Checks that every sample belongs to a family with a TYPE line, and that the
  // buckets of a histogram do not decrease and end at its count.
  void CheckFamilies();
  void CheckBuckets(const std::string& family);

  std::vector<MetricSample> samples_;
  std::map<std::string, std::string> types_;
  std::vector<std::string> errors_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_METRICS_TEXT_H_
