// Keeps the versions of the instance list and applies its faults.
#include "standins/instance_list_role.h"

#include <xxhash.h>

namespace thornplank::standins {

namespace {

bool IsNamed(const Json& instance, const std::string& name) {
  return StringField(instance, "name") == name;
}

}  // namespace

InstanceListRole::InstanceListRole(const boost::asio::any_io_executor& executor,
                                   const InstanceListSettings& settings)
    : Role(executor), lag_(settings.lag) {
  SetInitialInstances(settings.instances);
}

void InstanceListRole::SetInitialInstances(const Json& instances) {
  versions_.clear();
  versions_.push_back({Time(), instances});
}

void InstanceListRole::Handle(ExchangePtr exchange) {
  if (exchange->path() != "/v1/instances") {
    return exchange->Answer(ProblemReply(404, "no such resource"));
  }
  if (outage_) return exchange->Answer(ProblemReply(503, "outage"));
  RemoveOldVersions(std::chrono::steady_clock::now());
  WallTime as_of = std::chrono::system_clock::now() - lag_;
  const std::string text = versions_.front().instances.dump();
  const std::string etag =
      "\"" + std::to_string(XXH64(text.data(), text.size(), 0)) + "\"";
  Reply reply = JsonReply({{"as_of_ms", ToUnixMilliseconds(as_of)},
                           {"instances", versions_.front().instances}});
  if (exchange->Header("If-None-Match") == etag) {
    reply.status = 304;
    reply.body.clear();
  }
  reply.headers.emplace_back("ETag", etag);
  exchange->Answer(std::move(reply));
}

Json InstanceListRole::ControlState() {
  return {{"instances", versions_.back().instances}, {"outage", outage_}};
}

bool InstanceListRole::ApplyControl(const Json& control, Error* error) {
  if (!HasOnlyFields(control,
                     {"instances", "set_state", "remove", "outage", "lag_ms"},
                     error)) {
    return false;
  }
  ReadField(control, "outage", &outage_);
  ReadField(control, "lag_ms", &lag_);
  if (const Json* instances = ArrayField(control, "instances")) {
    AddVersion(*instances);
  }
  if (const Json* change = ObjectField(control, "set_state")) {
    SetState(StringField(*change, "name").value_or(""),
             StringField(*change, "state").value_or("live"));
  }
  if (auto name = StringField(control, "remove")) Remove(*name);
  return true;
}

void InstanceListRole::SetState(const std::string& name,
                                const std::string& state) {
  Json instances = versions_.back().instances;
  for (Json& instance : instances) {
    if (IsNamed(instance, name)) instance["state"] = state;
  }
  AddVersion(std::move(instances));
}

void InstanceListRole::Remove(const std::string& name) {
  Json kept = Json::array();
  for (const Json& instance : versions_.back().instances) {
    if (!IsNamed(instance, name)) kept.push_back(instance);
  }
  AddVersion(std::move(kept));
}

void InstanceListRole::AddVersion(Json instances) {
  Time now = std::chrono::steady_clock::now();
  RemoveOldVersions(now);
  versions_.push_back({now, std::move(instances)});
}

void InstanceListRole::RemoveOldVersions(Time now) {
  while (versions_.size() > 1 && versions_[1].since <= now - lag_) {
    versions_.pop_front();
  }
}

}  // namespace thornplank::standins
