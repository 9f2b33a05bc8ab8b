// Whether one stream of the store can be read, told at each change.
#ifndef THORNPLANK_COORDINATION_STREAM_REACHABILITY_H_
#define THORNPLANK_COORDINATION_STREAM_REACHABILITY_H_

#include <cstdint>
#include <string>
#include <utility>

#include "base/error.h"

namespace thornplank {

class StreamReachability {
 public:
  // `stream` is what the log calls it.
  explicit StreamReachability(std::string stream)
      : stream_(std::move(stream)) {}

  // It was read up to `next`. True when it had been lost.
  bool OnReadSucceeded(int64_t next);
  void OnReadFailed(const Error& error);

 private:
  std::string stream_;
  bool lost_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_STREAM_REACHABILITY_H_
