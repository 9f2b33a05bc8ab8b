// Requests the instance list and decodes it.
#include "platform/instance_list_client.h"

#include <mutex>
#include <utility>

#include "base/json.h"
#include "platform/platform_call.h"

namespace thornplank {
namespace {

constexpr char kStep[] = "read instance list";
constexpr int kNotModified = 304;

std::optional<InstanceKind> ParseKind(const std::string& name) {
  if (name == "entry") return InstanceKind::kEntry;
  if (name == "executor") return InstanceKind::kExecutor;
  if (name == "worker") return InstanceKind::kWorker;
  return std::nullopt;
}

int IntOrZero(const Json& item, std::string_view name) {
  return static_cast<int>(IntField(item, name).value_or(0));
}

std::optional<Instance> DecodeInstance(const Json& item) {
  const auto name = StringField(item, "name");
  const auto address = StringField(item, "address");
  const auto kind = ParseKind(StringField(item, "kind").value_or(""));
  if (!name || !address || !kind) return std::nullopt;
  Instance instance;
  instance.name = *name;
  instance.kind = *kind;
  instance.address = *address;
  instance.failure_domain = StringField(item, "failure_domain").value_or("");
  instance.leaving = StringField(item, "state") == "leaving";
  instance.rack = StringField(item, "rack").value_or("");
  instance.accelerators = IntOrZero(item, "accelerators");
  instance.cores = IntOrZero(item, "cores");
  instance.memory_mb = IntField(item, "memory_mb").value_or(0);
  instance.service = StringField(item, "service").value_or("");
  instance.slots = IntOrZero(item, "slots");
  return instance;
}

// Skips instances of an unknown kind or without a name or address, so that one
// invalid item does not invalidate the whole list.
std::optional<InstanceList> DecodeList(const Json& body) {
  const auto as_of = IntField(body, "as_of_ms");
  const Json* items = ArrayField(body, "instances");
  if (!as_of || items == nullptr) return std::nullopt;
  InstanceList list;
  list.as_of = FromUnixMilliseconds(*as_of);
  for (const Json& item : *items) {
    std::optional<Instance> instance = DecodeInstance(item);
    if (!instance) continue;
    list.instances.push_back(std::move(*instance));
  }
  return list;
}

}  // namespace

// The most recent list and its ETag. Thread-safe.
struct InstanceListClient::Cache {
  std::mutex mutex;
  // Empty before the first list, or when the platform sends no ETag.
  std::string etag;
  InstanceList list;

  std::string Etag() {
    const std::lock_guard<std::mutex> lock(mutex);
    return etag;
  }
  void Store(const std::string& new_etag, const InstanceList& new_list) {
    const std::lock_guard<std::mutex> lock(mutex);
    etag = new_etag;
    list = new_list;
  }
  InstanceList List() {
    const std::lock_guard<std::mutex> lock(mutex);
    return list;
  }
};

InstanceListClient::InstanceListClient(HttpClient& http, std::string address)
    : http_(http),
      address_(std::move(address)),
      cache_(std::make_shared<Cache>()) {}

void InstanceListClient::Read(Duration timeout, Callback callback) {
  PlatformCall call;
  call.step = kStep;
  call.address = address_;
  call.target = "/v1/instances";
  call.timeout = timeout;
  call.etag = cache_->Etag();
  SendPlatformCall(
      http_, call,
      [callback = std::move(callback), address = address_,
       cache = cache_](const PlatformReply& reply) {
        if (!reply.ok()) return callback(std::nullopt, reply.error);
        if (reply.status == kNotModified) return callback(cache->List(), {});
        std::optional<InstanceList> list = DecodeList(reply.body);
        if (!list) {
          return callback(std::nullopt, {kStep, address, "malformed answer"});
        }
        cache->Store(reply.etag, *list);
        callback(std::move(list), {});
      });
}

}  // namespace thornplank
