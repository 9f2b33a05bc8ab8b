// The instance list: answers describe the state of some time ago.
#ifndef THORNPLANK_TESTS_STANDINS_INSTANCE_LIST_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_INSTANCE_LIST_ROLE_H_

#include <deque>
#include <string>

#include "standins/role.h"

namespace thornplank::standins {

struct InstanceListSettings {
  std::string listen;
  Milliseconds lag{2000};
  // Adds the workers and executors of this process.
  bool include_own = false;
  // As they travel; see docs/PROTOCOLS.md.
  Json instances = Json::array();
};

class InstanceListRole : public Role {
 public:
  InstanceListRole(const boost::asio::any_io_executor& executor,
                   const InstanceListSettings& settings);

  // The instances at the start, without any lag. Call before the io_context
  // runs.
  void SetInitial(const Json& instances);

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  struct Version {
    // In force since then.
    Time since;
    Json instances;
  };

  void SetState(const std::string& name, const std::string& state);
  void Remove(const std::string& name);
  void Push(Json instances);
  // Removes versions that no answer can show any more.
  void Trim(Time now);

  Milliseconds lag_;
  bool outage_ = false;
  // Oldest first; never empty. The front is what answers show.
  std::deque<Version> versions_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_INSTANCE_LIST_ROLE_H_
