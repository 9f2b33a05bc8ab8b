// Stand-in for the users' advisor, the HTTP service that approves executors for
// steps.
#ifndef THORNPLANK_TESTS_STANDINS_USERS_ADVISOR_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_USERS_ADVISOR_ROLE_H_

#include <string>
#include <string_view>

#include "standins/role.h"

namespace thornplank::standins {

// Whether the incarnation with the id `executor` may run the step
// ("ID.K.STEP"). True for about two of three pairs. The stand-in executors call
// it as well, to check their tickets.
bool IsApproved(std::string_view step, std::string_view executor);
// The ticket that the advisor issues with its approval.
std::string TicketFor(std::string_view step, std::string_view executor);

struct UsersAdvisorSettings {
  std::string listen;
  // An answer takes decision_time, plus time_per_worker for each worker asked
  // about.
  Milliseconds decision_time{20};
  Milliseconds time_per_worker{1};
  // How long an approval is valid.
  Milliseconds validity{3000};
};

class UsersAdvisorRole : public Role {
 public:
  UsersAdvisorRole(const boost::asio::any_io_executor& executor,
                   UsersAdvisorSettings settings)
      : Role(executor), settings_(std::move(settings)) {}

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  const UsersAdvisorSettings settings_;
  bool silent_ = false;
  int64_t calls_ = 0;
  // Workers in all queries answered.
  int64_t named_workers_ = 0;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_ADVISOR_ROLE_H_
