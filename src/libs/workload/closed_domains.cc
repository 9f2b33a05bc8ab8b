// Orders closures by their offsets in the stream.
#include "workload/closed_domains.h"

namespace thornplank {

bool ClosedDomains::Apply(const std::string& domain, bool closed,
                          int64_t offset) {
  const auto [known, is_new] = offsets_.emplace(domain, offset);
  if (!is_new && offset < known->second) return false;
  known->second = offset;
  if (closed) return closed_.insert(domain).second;
  return closed_.erase(domain) > 0;
}

std::set<std::string> ClosedDomains::OnSnapshot(
    const std::set<std::string>& closed, int64_t next) {
  std::set<std::string> opened;
  for (const std::string& domain : closed_) {
    if (closed.count(domain) > 0) continue;
    // A read that ends before the closure tells nothing about it.
    if (next <= offsets_.at(domain)) continue;
    opened.insert(domain);
  }
  for (const std::string& domain : opened) {
    closed_.erase(domain);
  }
  return opened;
}

}  // namespace thornplank
