// Client of the platform's list of live and leaving instances, which lags.
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
  // "ip:port" of the instance's HTTP interface.
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
  // The time that the list describes, which lags behind the present.
  WallTime as_of;
};

class InstanceListClient {
 public:
  using Callback =
      std::function<void(std::optional<InstanceList>, const Error&)>;

  InstanceListClient(HttpClient& http, std::string address);

  // Reads the list. Sends the ETag of the previous list; when the platform
  // answers that it has not changed, the callback gets the previous list with
  // its `as_of`.
  void Read(Duration timeout, Callback callback);

 private:
  struct Cache;

  HttpClient& http_;
  std::string address_;
  std::shared_ptr<Cache> cache_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_INSTANCE_LIST_CLIENT_H_
