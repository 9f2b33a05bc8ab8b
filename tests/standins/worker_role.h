// Stand-in for a worker: serves a LeaseTable over HTTP, with fencing and
// faults.
#ifndef THORNPLANK_TESTS_STANDINS_WORKER_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_WORKER_ROLE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "standins/lease_table.h"
#include "standins/role.h"

namespace thornplank::standins {

struct WorkerSettings {
  std::string name;
  std::string listen;
  std::string failure_domain;
  std::string rack;
  int64_t accelerators = 8;
  int64_t cores = 64;
  int64_t memory_mb = 256000;
  Milliseconds checkpoint_time{200};
  Milliseconds usage_lag{1000};
};

class WorkerRole : public Role {
 public:
  WorkerRole(const boost::asio::any_io_executor& executor,
             WorkerSettings settings);

  // This worker as it is listed in the instance list.
  Json Instance() const;

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  // Epoch, then sequence.
  using Token = std::pair<int64_t, int64_t>;

  // Checks the fencing token and carries out a call that changes leases.
  Reply HandleCall(const std::string& path, const Json& body);
  Reply Grant(const Json& body, Time now);
  // Carries out a call on existing leases. Returns false if it is malformed.
  bool ChangeLeases(const std::string& path, const Json& body,
                    const std::vector<std::string>& lease_ids, Time now);
  // Reports all leases, and those of `requested_ids` that are not in the table
  // as gone.
  Json Report(const std::vector<std::string>& requested_ids, Time now) const;
  // Sets the timer to the next transition of the lease table.
  void ScheduleNextEvent();

  const WorkerSettings settings_;
  LeaseTable table_;
  // Never decreases, also not when the worker dies and is revived.
  Token newest_token_{0, 0};
  boost::asio::steady_timer timer_;
  bool frozen_ = false;
  bool dead_ = false;
  int64_t lose_replies_ = 0;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_WORKER_ROLE_H_
