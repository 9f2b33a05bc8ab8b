// Separates control calls from the requests of a role.
#include "standins/role.h"

#include <algorithm>

namespace thornplank::standins {

namespace http = boost::beast::http;

Role::Role(const boost::asio::any_io_executor& executor)
    : listener_(executor, [this](ExchangePtr exchange) {
        Dispatch(std::move(exchange));
      }) {}

void Role::Dispatch(ExchangePtr exchange) {
  if (exchange->path() == "/control") return HandleControl(*exchange);
  Handle(std::move(exchange));
}

void Role::HandleControl(Exchange& exchange) {
  if (exchange.request().method() == http::verb::get) {
    return exchange.Answer(JsonReply(ControlState()));
  }
  Error error;
  auto control = ParseJson(exchange.request().body());
  if (!control || !control->is_object()) {
    return exchange.Answer(ProblemReply(400, "control: not a JSON object"));
  }
  control_session_ = exchange.session();
  bool applied = ApplyControl(*control, &error);
  control_session_ = nullptr;
  if (!applied) {
    return exchange.Answer(ProblemReply(400, error.ToString()));
  }
  exchange.Answer(JsonReply({{"ok", true}}));
}

void Role::CloseOtherConnections() {
  listener_.CloseConnectionsExcept(control_session_);
}

bool HasOnlyFields(const Json& control,
                   std::initializer_list<std::string_view> names,
                   Error* error) {
  for (const auto& [name, value] : control.items()) {
    if (std::find(names.begin(), names.end(), name) != names.end()) continue;
    SetError(error, "control", "", "unknown field " + name);
    return false;
  }
  return true;
}

void ReadField(const Json& control, std::string_view name, bool* value) {
  *value = BoolField(control, name).value_or(*value);
}

void ReadField(const Json& control, std::string_view name, int64_t* value) {
  *value = IntField(control, name).value_or(*value);
}

void ReadField(const Json& control, std::string_view name,
               Milliseconds* value) {
  *value = Milliseconds(IntField(control, name).value_or(value->count()));
}

}  // namespace thornplank::standins
