// Tracks whether one stream of the store can be read, and logs each change.
#ifndef THORNPLANK_COORDINATION_STREAM_REACHABILITY_H_
#define THORNPLANK_COORDINATION_STREAM_REACHABILITY_H_

#include <cstdint>
#include <string>
#include <utility>

#include "base/error.h"

namespace thornplank {

class StreamReachability {
 public:
  // `stream` is the name of the stream in the log.
  explicit StreamReachability(std::string stream)
      : stream_(std::move(stream)) {}

  // The stream was read up to offset `next`. Returns whether the read before
  // had failed.
  bool OnReadSucceeded(int64_t next);
  void OnReadFailed(const Error& error);
  // Whether the last read failed.
  bool lost() const { return lost_; }

 private:
  std::string stream_;
  bool lost_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_STREAM_REACHABILITY_H_
