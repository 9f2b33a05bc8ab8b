// Base class of the HTTP roles of the stand-in program: a listener and a
// control interface through which a test switches faults on and off.
//
// All functions of a role run on its strand, so roles need no locks.
#ifndef THORNPLANK_TESTS_STANDINS_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_ROLE_H_

#include <initializer_list>
#include <string>

#include "standins/http_listener.h"

namespace thornplank::standins {

class Role {
 public:
  // `executor` must be a strand that no other role uses.
  explicit Role(const boost::asio::any_io_executor& executor);
  virtual ~Role() = default;

  bool Open(const std::string& address, Error* error) {
    return listener_.Open(address, error);
  }
  std::string address() const { return listener_.address(); }

 protected:
  // Handles every request except those to /control.
  virtual void Handle(ExchangePtr exchange) = 0;
  // The body of the answer to GET /control: counters and history.
  virtual Json ControlState() = 0;
  // Applies the object of a POST to /control. On failure returns false, sets
  // `*error` and changes nothing.
  virtual bool ApplyControl(const Json& control, Error* error) = 0;

  HttpListener& listener() { return listener_; }
  // Closes all connections except the one that sent the control call being
  // applied.
  void CloseOtherConnections();
  const boost::asio::any_io_executor& executor() const {
    return listener_.executor();
  }

 private:
  void Dispatch(ExchangePtr exchange);
  void HandleControl(Exchange& exchange);

  HttpListener listener_;
  // Connection of the control call being applied; null outside ApplyControl.
  const Session* control_session_ = nullptr;
};

// Returns whether `control` has no fields other than `names`. Otherwise a test
// that mistypes the name of a fault would run without the fault.
bool HasOnlyFields(const Json& control,
                   std::initializer_list<std::string_view> names, Error* error);

// Sets `*value` if the field is present.
void ReadField(const Json& control, std::string_view name, bool* value);
void ReadField(const Json& control, std::string_view name, int64_t* value);
void ReadField(const Json& control, std::string_view name, Milliseconds* value);

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_ROLE_H_
