// Keeps the records of entries on the board, through which the leader finds
// entries that may become replicas.
//
// A replica registers itself and the gateways that introduce themselves to it.
// A record is written if it is missing, differs or is old; records of several
// entries share one append. The leader drops records that have expired, since
// instances come and go.
#ifndef THORNPLANK_COORDINATION_ENTRY_REGISTRAR_H_
#define THORNPLANK_COORDINATION_ENTRY_REGISTRAR_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"
#include "coordination/job_board.h"
#include "coordination/record_store.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct EntryRegistrarSettings {
  Partition board;
  // Between two checks of this entry's own record.
  Milliseconds check_interval{2000};
  // From the first introduction to the append, so that others join it.
  Milliseconds write_delay{200};
  // An older record is rewritten.
  std::chrono::minutes refresh_interval{5};
  Milliseconds append_timeout{900};
};

// An older record belongs to an instance that no longer runs.
inline constexpr std::chrono::minutes kEntryRecordTtl{15};

class EntryRegistrar {
 public:
  // `store` and `board` outlive this object.
  EntryRegistrar(boost::asio::io_context& io, RecordStore& store,
                 const JobBoard& board, EntryRegistrarSettings settings);
  ~EntryRegistrar();

  // Registers this entry from now on. `record.written` is not used.
  void Start(const std::string& instance, const EntryRecord& record);
  // Another entry has introduced itself.
  void OnIntroduction(const std::string& instance, const EntryRecord& record);

 private:
  void CheckOwnRecord();
  bool IsCurrent(const std::string& instance, const EntryRecord& record) const;
  void WritePending();

  RecordStore& store_;
  const JobBoard& board_;
  const EntryRegistrarSettings settings_;
  boost::asio::steady_timer check_timer_;
  boost::asio::steady_timer write_timer_;
  std::string own_instance_;
  EntryRecord own_record_;
  // To be written, by instance.
  std::map<std::string, EntryRecord> pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_ENTRY_REGISTRAR_H_
