// Keeps the record of this entry on the board, through which the other entries
// find its address.
//
// The record is rewritten periodically and when it is missing. The leader drops
// records that have expired, since instances come and go.
#ifndef THORNPLANK_COORDINATION_ENTRY_REGISTRATION_H_
#define THORNPLANK_COORDINATION_ENTRY_REGISTRATION_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "coordination/job_board.h"
#include "coordination/record_store.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct EntryRegistrationSettings {
  Partition board;
  // Name of this instance.
  std::string instance;
  // "ip:port" where it answers the other entries; if empty, it is not
  // registered.
  std::string address;
  // Between two checks of the record.
  Milliseconds check_interval{2000};
  // The first check takes place after a random delay of up to this time, drawn
  // with `seed`: 1,000 entries that start together would saturate a partition,
  // at 500 appends a second, for two seconds.
  Milliseconds max_initial_delay{4000};
  uint32_t seed = 0;
  // An older record is rewritten. At this interval 100 entries together make
  // one append in three seconds.
  std::chrono::minutes refresh_interval{5};
  Milliseconds append_timeout{900};
};

// An older record belongs to an instance that no longer runs.
inline constexpr std::chrono::minutes kEntryRecordTtl{15};

class EntryRegistration {
 public:
  // `store` and `board` outlive this object.
  EntryRegistration(boost::asio::io_context& io, RecordStore& store,
                    const JobBoard& board, EntryRegistrationSettings settings);

  // To be called when the board was read up to its end. The first call starts
  // the checks.
  void OnBoardCaughtUp();

  // Addresses of the other entries on the board.
  std::vector<std::string> PeerAddresses() const;

 private:
  void ScheduleCheck(Milliseconds delay);
  void CheckRecord();
  bool IsRecordCurrent() const;

  RecordStore& store_;
  const JobBoard& board_;
  const EntryRegistrationSettings settings_;
  boost::asio::steady_timer timer_;
  bool checks_started_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_ENTRY_REGISTRATION_H_
