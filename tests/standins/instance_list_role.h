// Stand-in for the instance list of the platform. Its answers show changes only
// after a configurable lag.
#ifndef THORNPLANK_TESTS_STANDINS_INSTANCE_LIST_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_INSTANCE_LIST_ROLE_H_

#include <deque>
#include <string>

#include "standins/role.h"

namespace thornplank::standins {

struct InstanceListSettings {
  std::string listen;
  Milliseconds lag{2000};
  // Whether the workers and executors of this process are listed, too.
  bool include_own = false;
  // In the wire format; see docs/PROTOCOLS.md.
  Json instances = Json::array();
};

class InstanceListRole : public Role {
 public:
  InstanceListRole(const boost::asio::any_io_executor& executor,
                   const InstanceListSettings& settings);

  // Replaces the list without lag. Must be called before the io_context runs.
  void SetInitialInstances(const Json& instances);

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  struct Version {
    // When the list was changed to `instances`.
    Time since;
    Json instances;
  };

  void SetState(const std::string& name, const std::string& state);
  void Remove(const std::string& name);
  void AddVersion(Json instances);
  // Removes versions that were superseded before `now` - lag.
  void RemoveOldVersions(Time now);

  Milliseconds lag_;
  bool outage_ = false;
  // Oldest first; never empty. Answers show the first one.
  std::deque<Version> versions_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_INSTANCE_LIST_ROLE_H_
