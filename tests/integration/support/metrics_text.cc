// A parser of the Prometheus text format 0.0.4.
#include "metrics_text.h"

#include <regex>
#include <sstream>

namespace thornplank {
namespace {

bool HasLabels(const MetricSample& sample,
               const std::map<std::string, std::string>& labels) {
  for (const auto& [name, value] : labels) {
    const auto it = sample.labels.find(name);
    if (it == sample.labels.end() || it->second != value) return false;
  }
  return true;
}

// The declared family of samples called `name`; empty if there is none.
std::string FamilyOf(const std::string& name,
                     const std::map<std::string, std::string>& types) {
  if (types.count(name) > 0) return name;
  for (const std::string suffix : {"_bucket", "_sum", "_count"}) {
    if (name.size() <= suffix.size()) continue;
    const size_t cut = name.size() - suffix.size();
    if (name.compare(cut, suffix.size(), suffix) != 0) continue;
    const std::string family = name.substr(0, cut);
    if (types.count(family) > 0) return family;
  }
  return "";
}

}  // namespace

MetricsText::MetricsText(const std::string& text) {
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.empty()) continue;
    if (line[0] == '#') {
      ReadComment(line);
    } else {
      ReadSample(line);
    }
  }
  if (!text.empty() && text.back() != '\n') {
    errors_.emplace_back("the last line is not terminated");
  }
  CheckFamilies();
}

double MetricsText::Sum(
    const std::string& name,
    const std::map<std::string, std::string>& labels) const {
  double sum = 0;
  for (const MetricSample& sample : samples_) {
    if (sample.name == name && HasLabels(sample, labels)) sum += sample.value;
  }
  return sum;
}

void MetricsText::ReadComment(const std::string& line) {
  static const std::regex kType(
      "# TYPE ([a-z_]+) (counter|gauge|summary|histogram)");
  static const std::regex kHelp("# HELP [a-z_]+ .+");
  std::smatch match;
  if (std::regex_match(line, match, kType)) {
    if (types_.count(match[1]) > 0) errors_.push_back("duplicate: " + line);
    types_[match[1]] = match[2];
    return;
  }
  if (!std::regex_match(line, kHelp)) errors_.push_back("comment: " + line);
}

void MetricsText::ReadSample(const std::string& line) {
  static const std::regex kSample(
      R"re(([a-z_]+)(?:\{(.*)\})? ([-+0-9.eE]+))re");
  static const std::regex kLabel(R"re(([a-z_]+)="((?:[^"\\]|\\.)*)"(,|$))re");
  std::smatch match;
  if (!std::regex_match(line, match, kSample)) {
    errors_.push_back("malformed sample: " + line);
    return;
  }
  MetricSample sample;
  sample.name = match[1];
  sample.value = std::stod(match[3]);
  const std::string labels = match[2];
  size_t read = 0;
  for (std::sregex_iterator it(labels.begin(), labels.end(), kLabel), end;
       it != end; ++it) {
    sample.labels[(*it)[1]] = (*it)[2];
    read += static_cast<size_t>(it->length());
  }
  if (read != labels.size()) errors_.push_back("malformed labels: " + line);
  samples_.push_back(std::move(sample));
}

void MetricsText::CheckFamilies() {
  for (const MetricSample& sample : samples_) {
    if (!FamilyOf(sample.name, types_).empty()) continue;
    errors_.push_back("sample without a type: " + sample.name);
  }
  for (const auto& [family, type] : types_) {
    if (type == "histogram") CheckBuckets(family);
  }
}

void MetricsText::CheckBuckets(const std::string& family) {
  double last = 0;
  for (const MetricSample& sample : samples_) {
    if (sample.name != family + "_bucket") continue;
    if (sample.value < last) errors_.push_back("buckets decrease: " + family);
    last = sample.value;
    if (sample.labels.at("le") != "+Inf") continue;
    std::map<std::string, std::string> labels = sample.labels;
    labels.erase("le");
    if (Sum(family + "_count", labels) != sample.value) {
      errors_.push_back("count differs from the last bucket: " + family);
    }
    last = 0;
  }
}

}  // namespace thornplank
