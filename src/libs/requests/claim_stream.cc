// Writer and follower of the claim stream.
#include "requests/claim_stream.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "logging/events/claims_events.h"

namespace thornplank {
namespace {

void ParseAndDeliver(const LogRecord& record,
                     const ClaimStream::RecordHandler& on_record) {
  Error error;
  const auto claim = ParseClaimRecord(record.data, &error);
  if (!claim) {
    LogEvent(events::kClaimRecordMalformed, error, {{"offset", record.offset}});
    return;
  }
  on_record(*claim, record.time);
}

}  // namespace

ClaimStream::ClaimStream(boost::asio::io_context& io, LogClient& log,
                         const RequestManagerSettings& settings)
    : io_(io),
      log_(log),
      settings_(settings),
      writer_(io, log, kClaimStream, settings.claim_writer) {}

void ClaimStream::Start(RecordHandler on_record, GapHandler on_gap) {
  follower_ = std::make_unique<StreamFollower>(
      io_, log_, kClaimStream, settings_.claim_follower,
      [on_record = std::move(on_record)](const LogRecord& record) {
        ParseAndDeliver(record, on_record);
      },
      [on_gap = std::move(on_gap)](int64_t from, int64_t first_kept) {
        LogEvent(events::kClaimStreamGap,
                 {{"from", from},
                  {"first_kept", first_kept},
                  {"reason", "records were lost to retention"}});
        on_gap();
      });
  follower_->Start(0);
}

void ClaimStream::Stop() {
  if (follower_) follower_->Stop();
}

void ClaimStream::AppendClaim(const ClaimRecord& record, Time deadline,
                              std::function<void()> not_appended) {
  writer_.Append(LogRecordId(record), ToJson(record), deadline,
                 [not_appended = std::move(not_appended)](
                     AppendState state, int64_t, const Error&) {
                   // Whether a record that was sent is in the log is only known
                   // once it is read back.
                   if (state == AppendState::kNotAppended) not_appended();
                 });
}

void ClaimStream::Append(const ClaimRecord& record) {
  const Time deadline =
      std::chrono::steady_clock::now() + settings_.claim_window;
  // No other entry waits for a "done" record, but a retry of the key may wait
  // for a "released" record, so that one is not delayed.
  const Duration max_delay = record.kind == ClaimRecordKind::kDone
                                 ? settings_.max_done_record_delay
                                 : Duration::zero();
  writer_.Append(
      LogRecordId(record), ToJson(record), deadline,
      [](AppendState, int64_t, const Error&) {}, max_delay);
}

// After a failed append the writer is unhealthy until the next append succeeds.
// One claim at a time is therefore let through as a probe; otherwise a single
// failure would block all claims for ever.
bool ClaimStream::available() const {
  if (!follower_) return false;
  const std::optional<Time> last_success = follower_->last_success();
  if (!last_success) return false;
  const Time now = std::chrono::steady_clock::now();
  if (*last_success + settings_.claim_log_timeout < now) return false;
  return writer_.healthy() || writer_.pending() == 0;
}

bool ClaimStream::caught_up() const {
  return follower_ && follower_->caught_up();
}

int64_t ClaimStream::next_offset() const {
  return follower_ ? follower_->next_offset() : 0;
}

size_t ClaimStream::pending_records() const { return writer_.pending(); }

}  // namespace thornplank
