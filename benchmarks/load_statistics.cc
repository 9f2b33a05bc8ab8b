// Computes the statistics of a load from its history, and prints tables.
#include "load_statistics.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <utility>

namespace thornplank {
namespace {

using Microseconds = std::chrono::microseconds;

bool IsWithin(int64_t at_us, const LoadWindow& window) {
  const Duration at = Microseconds(at_us);
  return at >= window.begin && at < window.end;
}

bool IsOfAccount(const HistoryRecord& record, const std::string& account) {
  return account.empty() || record.account == account;
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(quantile * last)];
}

}  // namespace

double AnswersPerSecond(const std::vector<HistoryRecord>& history,
                        const LoadWindow& window, Milliseconds deadline,
                        const std::string& account) {
  size_t answers = 0;
  for (const HistoryRecord& record : history) {
    if (record.outcome != Outcome::kAnswered || !IsOfAccount(record, account)) {
      continue;
    }
    if (Microseconds(record.latency_us) > deadline) continue;
    if (IsWithin(record.sent_us + record.latency_us, window)) ++answers;
  }
  const std::chrono::duration<double> length = window.end - window.begin;
  return static_cast<double>(answers) / length.count();
}

double OutcomeShare(const std::vector<HistoryRecord>& history,
                    const LoadWindow& window, Outcome outcome) {
  size_t sent = 0;
  size_t matching = 0;
  for (const HistoryRecord& record : history) {
    if (!IsWithin(record.sent_us, window)) continue;
    ++sent;
    if (record.outcome == outcome) ++matching;
  }
  if (sent == 0) return 0;
  return static_cast<double>(matching) / static_cast<double>(sent);
}

double LatencyQuantile(const std::vector<HistoryRecord>& history,
                       const LoadWindow& window, Outcome outcome,
                       double quantile, const std::string& account) {
  std::vector<double> latencies;
  for (const HistoryRecord& record : history) {
    if (record.outcome != outcome || !IsOfAccount(record, account)) continue;
    if (!IsWithin(record.sent_us, window)) continue;
    latencies.push_back(static_cast<double>(record.latency_us));
  }
  return Quantile(std::move(latencies), quantile);
}

Json MedianOfRounds(const std::vector<Json>& rounds) {
  Json medians = Json::object();
  if (rounds.empty()) return medians;
  for (const auto& [key, unused] : rounds.front().items()) {
    std::vector<double> values;
    values.reserve(rounds.size());
    for (const Json& round : rounds) values.push_back(round[key].get<double>());
    medians[key] = Quantile(std::move(values), 0.5);
  }
  return medians;
}

void PrintTable(const std::string& title, const std::vector<std::string>& names,
                const std::vector<Json>& columns) {
  std::cout << "\n| " << title << " |";
  for (const std::string& name : names) std::cout << " " << name << " |";
  std::cout << "\n|---|";
  for (size_t i = 0; i < names.size(); ++i) std::cout << "---|";
  std::cout << "\n";
  for (const auto& [key, unused] : columns.front().items()) {
    std::cout << "| " << key << " |";
    for (const Json& column : columns) {
      char text[32];
      std::snprintf(text, sizeof(text), " %.4g |", column.value(key, 0.0));
      std::cout << text;
    }
    std::cout << "\n";
  }
  std::cout.flush();
}

}  // namespace thornplank
