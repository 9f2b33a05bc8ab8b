// Derives approvals and tickets from a hash, so that they never change.
#include "standins/users_advisor_role.h"

#include <xxhash.h>

namespace thornplank::standins {

namespace {

constexpr size_t kMaxWorkersPerQuery = 100;

uint64_t Hash(std::string_view step, std::string_view executor) {
  const std::string text = std::string(step) + "/" + std::string(executor);
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

bool IsApproved(std::string_view step, std::string_view executor) {
  return Hash(step, executor) % 3 != 0;
}

std::string TicketFor(std::string_view step, std::string_view executor) {
  return "t-" + std::to_string(Hash(step, executor));
}

void UsersAdvisorRole::Handle(ExchangePtr exchange) {
  if (silent_) return;
  const Json body =
      ParseJson(exchange->request().body()).value_or(Json::object());
  const std::string step = StringField(body, "step").value_or("");
  const Json* workers = ArrayField(body, "workers");
  if (exchange->path() != "/v1/advise" || step.empty() || workers == nullptr ||
      workers->size() > kMaxWorkersPerQuery) {
    return exchange->Answer(
        ProblemReply(400, "no such call, or a malformed query"));
  }
  Json good = Json::array();
  for (const Json& worker : *workers) {
    const std::string id = worker.get<std::string>();
    if (IsApproved(step, id)) {
      good.push_back(Json::array({id, TicketFor(step, id)}));
    }
  }
  ++calls_;
  named_workers_ += static_cast<int64_t>(workers->size());
  const auto answer_delay =
      settings_.decision_time +
      settings_.time_per_worker * static_cast<int>(workers->size());
  RunAfter(executor(), answer_delay, [this, exchange, good = std::move(good)] {
    exchange->Answer(
        JsonReply({{"good", good}, {"valid_ms", settings_.validity.count()}}));
  });
}

Json UsersAdvisorRole::ControlState() {
  return {{"calls", calls_}, {"named", named_workers_}};
}

bool UsersAdvisorRole::ApplyControl(const Json& control, Error* error) {
  if (!HasOnlyFields(control, {"silent"}, error)) return false;
  ReadField(control, "silent", &silent_);
  return true;
}

}  // namespace thornplank::standins
