// A complete answer of an executor, as it is delivered to callers.
#ifndef THORNPLANK_CLAIMS_UPSTREAM_ANSWER_H_
#define THORNPLANK_CLAIMS_UPSTREAM_ANSWER_H_

#include <string>

namespace thornplank {

struct UpstreamAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  // Name of the executor.
  std::string executor;
};

}  // namespace thornplank

#endif  // THORNPLANK_CLAIMS_UPSTREAM_ANSWER_H_
