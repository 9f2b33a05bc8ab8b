// Failure domains that take no new work, as the operators' stream has them.
//
// What runs there goes on. A read of the stream may be behind an earlier one,
// so that changes count by their offsets: what was seen once is never left for
// something older.
#ifndef THORNPLANK_WORKLOAD_CLOSED_DOMAINS_H_
#define THORNPLANK_WORKLOAD_CLOSED_DOMAINS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace thornplank {

class ClosedDomains {
 public:
  // A record of the stream closes or opens the domain. True when that changed.
  bool Apply(const std::string& domain, bool closed, int64_t offset);
  // The stream was read anew up to `next`, and closes just these. Returns those
  // that are open again.
  std::set<std::string> OnSnapshot(const std::set<std::string>& closed,
                                   int64_t next);

  bool IsClosed(const std::string& domain) const {
    return closed_.count(domain) > 0;
  }
  const std::set<std::string>& closed() const { return closed_; }

 private:
  std::set<std::string> closed_;
  // Of the last change of each domain.
  std::map<std::string, int64_t> offsets_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_CLOSED_DOMAINS_H_
