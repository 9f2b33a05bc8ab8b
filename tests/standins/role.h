// What every HTTP role of the stand-in program has in common: a listener and
// a control interface by which a test switches faults.
#ifndef THORNPLANK_TESTS_STANDINS_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_ROLE_H_

#include <initializer_list>
#include <string>

#include "standins/http_listener.h"

namespace thornplank::standins {

class Role {
 public:
  // `executor` is a strand of this role alone.
  explicit Role(const boost::asio::any_io_executor& executor);
  virtual ~Role() = default;

  bool Open(const std::string& address, Error* error) {
    return listener_.Open(address, error);
  }
  std::string address() const { return listener_.address(); }

 protected:
  // Any request but those to /control.
  virtual void Handle(ExchangePtr exchange) = 0;
  // The answer to GET /control: counters and history.
  virtual Json ControlState() = 0;
  // Applies the object of POST /control; false with `*error` changes nothing.
  virtual bool ApplyControl(const Json& control, Error* error) = 0;

  HttpListener& listener() { return listener_; }
  // Closes every connection but the one whose control call is being applied.
  void CloseOtherConnections();
  const boost::asio::any_io_executor& executor() const {
    return listener_.executor();
  }

 private:
  void Dispatch(ExchangePtr exchange);
  void Control(Exchange& exchange);

  HttpListener listener_;
  // Not null only during ApplyControl.
  const Session* control_session_ = nullptr;
};

// True when `control` is an object with none but `names` in it; a mistyped
// fault must not pass for one that is switched on.
bool HasOnlyFields(const Json& control,
                   std::initializer_list<std::string_view> names, Error* error);

// Sets `*value` when the field is there.
void ReadField(const Json& control, std::string_view name, bool* value);
void ReadField(const Json& control, std::string_view name, int64_t* value);
void ReadField(const Json& control, std::string_view name, Milliseconds* value);

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_ROLE_H_
