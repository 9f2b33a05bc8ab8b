// The users' service that approves executors for steps, over HTTP.
#ifndef THORNPLANK_TESTS_STANDINS_USERS_ADVISOR_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_USERS_ADVISOR_ROLE_H_

#include <string>
#include <string_view>

#include "standins/role.h"

namespace thornplank::standins {

// Whether the executor's present life may run the step ("ID.K.STEP"): two of
// three may. The executor asks the same when it is given a ticket.
bool IsApproved(std::string_view step, std::string_view executor);
std::string TicketFor(std::string_view step, std::string_view executor);

struct UsersAdvisorSettings {
  std::string listen;
  Milliseconds decision{20};
  Milliseconds each{1};
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
  int64_t named_ = 0;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_ADVISOR_ROLE_H_
