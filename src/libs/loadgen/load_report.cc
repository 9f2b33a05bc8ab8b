// Groups latencies by outcome and account and computes their percentiles.
#include "loadgen/load_report.h"

#include <algorithm>
#include <map>
#include <string>

namespace thornplank {
namespace {

int64_t Percentile(const std::vector<int64_t>& sorted, double quantile) {
  if (sorted.empty()) return 0;
  const auto rank =
      static_cast<size_t>(quantile * static_cast<double>(sorted.size() - 1));
  return sorted[rank];
}

Json Latencies(std::vector<int64_t> values) {
  std::sort(values.begin(), values.end());
  return {{"count", values.size()},
          {"p50_us", Percentile(values, 0.50)},
          {"p90_us", Percentile(values, 0.90)},
          {"p99_us", Percentile(values, 0.99)},
          {"max_us", values.empty() ? 0 : values.back()}};
}

// Latencies by outcome name.
using LatenciesByOutcome = std::map<std::string, std::vector<int64_t>>;

Json ToJson(const LatenciesByOutcome& outcomes) {
  Json result = Json::object();
  for (const auto& [name, values] : outcomes) result[name] = Latencies(values);
  return result;
}

}  // namespace

Json SummarizeHistory(const std::vector<HistoryRecord>& history) {
  LatenciesByOutcome all;
  std::map<std::string, LatenciesByOutcome> by_account;
  int64_t end_us = 0;
  size_t answered = 0;
  for (const HistoryRecord& record : history) {
    const std::string outcome = OutcomeName(record.outcome);
    all[outcome].push_back(record.latency_us);
    by_account[record.account][outcome].push_back(record.latency_us);
    if (record.outcome != Outcome::kAnswered) continue;
    ++answered;
    end_us = std::max(end_us, record.sent_us + record.latency_us);
  }
  Json accounts = Json::object();
  for (const auto& [account, outcomes] : by_account) {
    accounts[account] = ToJson(outcomes);
  }
  const double seconds = static_cast<double>(end_us) / 1e6;
  return {{"requests", history.size()},
          {"outcomes", ToJson(all)},
          {"accounts", accounts},
          {"seconds", seconds},
          {"goodput_per_second",
           seconds > 0 ? static_cast<double>(answered) / seconds : 0.0}};
}

}  // namespace thornplank
