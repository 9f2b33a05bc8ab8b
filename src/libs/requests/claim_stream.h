// Appends claim records to the claim stream of the log, and follows the stream.
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

  // Starts following the stream from its beginning. Must be called once, before
  // the first request is handled. `on_record` gets each record with the time at
  // which the log service stored it; `on_gap` runs when records were lost to
  // retention.
  void Start(RecordHandler on_record, GapHandler on_gap);
  void Stop();

  // Appends a claim. `not_appended` runs if and only if it is certain that the
  // record never reached the log before `deadline`.
  void AppendClaim(const ClaimRecord& record, Time deadline,
                   std::function<void()> not_appended);
  // Appends a record of a release or of an answer, retrying for as long as keys
  // are remembered.
  void Append(const ClaimRecord& record);

  // Whether a claim appended now is likely to be read back soon.
  bool available() const;
  // True once the stream has been read to its end for the first time.
  bool caught_up() const;
  // Offset of the next record to read.
  int64_t next_offset() const;
  // Number of records that are waiting to be appended.
  size_t pending_records() const;

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
