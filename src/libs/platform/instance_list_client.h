// The client of the platform's lagging list of live and leaving instances.
#ifndef THORNPLANK_PLATFORM_INSTANCE_LIST_CLIENT_H_
#define THORNPLANK_PLATFORM_INSTANCE_LIST_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace thornplank {

class HttpClient;

enum class InstanceKind { kEntry, kExecutor, kWorker };

struct Instance {
  std::string name;
  InstanceKind kind = InstanceKind::kWorker;
  // "ip:port" of its HTTP interface.
  std::string address;
  std::string failure_domain;
  bool leaving = false;
  // Workers only.
  std::string rack;
  int accelerators = 0;
  int cores = 0;
  int64_t memory_mb = 0;
  // Executors only.
  std::string service;
  int slots = 0;
};

struct InstanceList {
  std::vector<Instance> instances;
  // The moment that the list describes; it lags.
  WallTime as_of;
};

class InstanceListClient {
 public:
  using Callback =
      std::function<void(std::optional<InstanceList>, const Error&)>;

  InstanceListClient(HttpClient& http, std::string address);

  // Where the platform gives an ETag, a list that has not changed costs one
  // short answer, and comes back as it was, `as_of` included.
  void Read(Duration timeout, Callback callback);

 private:
  struct Cache;

  HttpClient& http_;
  std::string address_;
  std::shared_ptr<Cache> cache_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_INSTANCE_LIST_CLIENT_H_
