// The JSON form of an instance in the HTTP interface.
#ifndef THORNPLANK_INSTANCES_INSTANCE_JSON_H_
#define THORNPLANK_INSTANCES_INSTANCE_JSON_H_

#include "base/json.h"
#include "platform/instance_list_client.h"

namespace thornplank {

// {"name","kind","address","failure_domain","state", workers: "rack",
// "accelerators", executors: "service","slots"}.
Json ToJson(const Instance& instance);

}  // namespace thornplank

#endif  // THORNPLANK_INSTANCES_INSTANCE_JSON_H_
