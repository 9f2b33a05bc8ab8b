// Failure domains that accept no new work, according to the operators' stream.
//
// Runs that are already there continue. A read of the stream may be older than
// an earlier one, so changes are ordered by their offsets: a newer state is
// never replaced by an older one.
#ifndef THORNPLANK_WORKLOAD_CLOSED_DOMAINS_H_
#define THORNPLANK_WORKLOAD_CLOSED_DOMAINS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace thornplank {

class ClosedDomains {
 public:
  // A record of the stream closes or opens the domain. Returns true if that
  // changed its state.
  bool Apply(const std::string& domain, bool closed, int64_t offset);
  // The stream was read again up to `next`; exactly the domains in `closed` are
  // closed. Returns those that are open again.
  std::set<std::string> OnSnapshot(const std::set<std::string>& closed,
                                   int64_t next);

  bool IsClosed(const std::string& domain) const {
    return closed_.count(domain) > 0;
  }
  const std::set<std::string>& closed() const { return closed_; }

 private:
  std::set<std::string> closed_;
  // Offset of the last change of each domain.
  std::map<std::string, int64_t> offsets_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_CLOSED_DOMAINS_H_
