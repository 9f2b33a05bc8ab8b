// The claim stream of the log: what this entry appends, and what it follows.
#ifndef THORNPLANK_REQUESTS_CLAIM_STREAM_H_
#define THORNPLANK_REQUESTS_CLAIM_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/time.h"
#include "claims/claim_record.h"
#include "platform/log_client.h"
#include "platform/stream_follower.h"
#include "platform/stream_writer.h"
#include "requests/request_manager.h"

namespace thornplank {

class ClaimStream {
 public:
  using RecordHandler =
      std::function<void(const ClaimRecord& record, WallTime time)>;
  using GapHandler = std::function<void()>;

  ClaimStream(boost::asio::io_context& io, LogClient& log,
              const RequestManagerSettings& settings);

  // Follows the stream from its beginning. Called once, before any request.
  void Start(RecordHandler on_record, GapHandler on_gap);
  void Stop();

  // Appends a claim; `not_appended` runs when it certainly never reached the
  // log before `deadline`, and never otherwise.
  void AppendClaim(const ClaimRecord& record, Time deadline,
                   std::function<void()> not_appended);
  // Appends a release or an answer, for as long as it matters.
  void Append(const ClaimRecord& record);

  // Whether a claim appended now has a chance to be read back soon.
  bool available() const;
  // The stream was once read to its end.
  bool ready() const;
  int64_t offset() const;
  // Records that wait to be appended.
  size_t pending() const;

 private:
  boost::asio::io_context& io_;
  LogClient& log_;
  const RequestManagerSettings settings_;
  StreamWriter writer_;
  // Set by Start.
  std::unique_ptr<StreamFollower> follower_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_STREAM_H_
