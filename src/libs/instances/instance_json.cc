// The JSON form of an instance in the HTTP interface.
#include "instances/instance_json.h"

namespace thornplank {
namespace {

const char* KindName(InstanceKind kind) {
  switch (kind) {
    case InstanceKind::kEntry:
      return "entry";
    case InstanceKind::kExecutor:
      return "executor";
    case InstanceKind::kWorker:
      return "worker";
  }
  return "worker";
}

}  // namespace

Json ToJson(const Instance& instance) {
  Json value = {{"name", instance.name},
                {"kind", KindName(instance.kind)},
                {"address", instance.address},
                {"failure_domain", instance.failure_domain},
                {"state", instance.leaving ? "leaving" : "live"}};
  if (instance.kind == InstanceKind::kWorker) {
    value["rack"] = instance.rack;
    value["accelerators"] = instance.accelerators;
  }
  if (instance.kind == InstanceKind::kExecutor) {
    value["service"] = instance.service;
    value["slots"] = instance.slots;
  }
  return value;
}

}  // namespace thornplank
