// Keeps this entry's record on the board, by which the others find it.
//
// It is written anew from time to time, and when it is gone: the leader drops
// records that nobody has written for long, since instances come and go.
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
  // This instance, and where it answers the other entries; empty: it does not.
  std::string instance;
  std::string address;
  // Between two looks whether the record is there.
  Milliseconds check_interval{2000};
  // The first look comes within this time, drawn with `seed`: 1,000 entries
  // that start together would fill a partition, 500 appends a second, for two.
  Milliseconds max_initial_delay{4000};
  uint32_t seed = 0;
  // A record that is older is written anew: once in some minutes costs 100
  // entries one append in three seconds together.
  std::chrono::minutes refresh_interval{5};
  Milliseconds append_timeout{900};
};

// A record that is older is its instance's last.
inline constexpr std::chrono::minutes kEntryRecordTtl{15};

class EntryRegistration {
 public:
  // `store` and `board` outlive this object.
  EntryRegistration(boost::asio::io_context& io, RecordStore& store,
                    const JobBoard& board, EntryRegistrationSettings settings);

  // The board was read up to its end.
  void OnBoardCaughtUp();

  // Where the other entries answer.
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
