// thornplankctl requests …: sends single requests to a service, for manual
// tests.
#include <chrono>
#include <iostream>

#include "command.h"

namespace thornplank {
namespace {

int Send(const CommandContext& context) {
  HttpHeaders headers;
  if (context.arguments.size() > 2) {
    headers.Set("Idempotency-Key", context.arguments[2]);
    headers.Set(
        "Idempotency-Key-Time",
        std::to_string(ToUnixMilliseconds(std::chrono::system_clock::now())));
  }
  Error error;
  const std::optional<HttpResponse> response = context.api.Send(
      "POST", "/v1/services/" + context.arguments[0] + "/requests",
      context.arguments[1], headers, &error);
  if (!response.has_value()) {
    std::cerr << "thornplankctl: no answer: " << error.ToString() << "\n";
    return kExitNoAnswer;
  }
  std::cout << "outcome   " << response->headers.Value("Thornplank-Outcome")
            << "\nexecutor  " << response->headers.Value("Thornplank-Executor")
            << "\nstatus    " << response->status << "\n"
            << response->body << "\n";
  return response->status / 100 == 2 ? kExitOk : kExitRefused;
}

}  // namespace

std::vector<Command> RequestCommands() {
  return {
      {"requests", "send", "SERVICE BODY [KEY]",
       "Sends one request; with KEY it is not idempotent and runs at most "
       "once.",
       "thornplankctl requests send claims '{\"batch\":17}' payment-17", 2,
       Send},
  };
}

}  // namespace thornplank
