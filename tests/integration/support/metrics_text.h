// Reads the text format of metrics, strictly, as a scraper would.
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
  // Faults of the format are in faults(), one text each.
  explicit MetricsText(const std::string& text);

  const std::vector<MetricSample>& samples() const { return samples_; }
  const std::vector<std::string>& faults() const { return faults_; }
  // By name of the family: counter, gauge, summary or histogram.
  const std::map<std::string, std::string>& types() const { return types_; }

  // The sum over all samples of that name with at least those labels.
  double Sum(const std::string& name,
             const std::map<std::string, std::string>& labels = {}) const;

 private:
  void ReadComment(const std::string& line);
  void ReadSample(const std::string& line);
  // Every sample belongs to a family that was announced, and the buckets of a
  // histogram rise up to its count.
  void CheckFamilies();
  void CheckBuckets(const std::string& family);

  std::vector<MetricSample> samples_;
  std::map<std::string, std::string> types_;
  std::vector<std::string> faults_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_METRICS_TEXT_H_
