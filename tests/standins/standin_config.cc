// Checks the configuration and expands its groups.
#include "standins/standin_config.h"

#include <functional>
#include <set>
#include <string>
#include <type_traits>

namespace thornplank::standins {

namespace {

constexpr int64_t kMaxCount = 5000;
constexpr int64_t kMaxThreads = 16;
constexpr int64_t kMaxNumber = 1000000000;

// Reads the fields of one object. Only the first error is reported; the caller
// must call Finish at the end.
class FieldReader {
 public:
  FieldReader(const Json& object, std::string section, Error* error)
      : object_(object), section_(std::move(section)), error_(error) {
    if (!object_.is_object()) Fail("not an object");
  }

  std::string String(const std::string& name) {
    return Required(name, StringField(object_, MarkKnown(name)), "a string");
  }
  std::string String(const std::string& name, const std::string& fallback) {
    return Has(name) ? String(name) : (MarkKnown(name), fallback);
  }
  int64_t Int(const std::string& name, int64_t fallback, int64_t min = 0,
              int64_t max = kMaxNumber) {
    if (!Has(name)) return MarkKnown(name), fallback;
    int64_t value =
        Required(name, IntField(object_, MarkKnown(name)), "a number");
    if (value < min || value > max) Fail(name + ": out of range");
    return value;
  }
  Milliseconds Interval(const std::string& name, Milliseconds fallback) {
    return Milliseconds(Int(name, fallback.count()));
  }
  bool Bool(const std::string& name, bool fallback) {
    if (!Has(name)) return MarkKnown(name), fallback;
    return Required(name, BoolField(object_, MarkKnown(name)), "true or false");
  }
  // An "ip:port".
  std::string Address(const std::string& name) {
    std::string address = String(name);
    if (ok_ && !ParseEndpoint(address, nullptr)) {
      Fail(name + ": not of the form ip:port");
    }
    return address;
  }
  std::vector<std::string> Strings(const std::string& name) {
    std::vector<std::string> values;
    for (const Json& value : Array(name)) {
      if (value.is_string()) {
        values.push_back(value.get<std::string>());
      } else {
        Fail(name + ": not an array of strings");
      }
    }
    return values;
  }
  // An empty array if the field is absent.
  Json Array(const std::string& name) {
    if (!Has(name)) return MarkKnown(name), Json::array();
    const Json* array = ArrayField(object_, MarkKnown(name));
    if (array != nullptr) return *array;
    Fail(name + ": not an array");
    return Json::array();
  }
  // Null if the field is absent.
  Json Object(const std::string& name) {
    return Has(name) ? object_[MarkKnown(name)] : (MarkKnown(name), Json());
  }
  void Fail(const std::string& reason) {
    if (ok_) SetError(error_, "check config", section_, reason);
    ok_ = false;
  }
  // Returns whether all reads succeeded and all fields of the object were read.
  bool Finish() {
    if (!ok_) return false;
    for (const auto& [name, value] : object_.items()) {
      if (known_.count(name) == 0) Fail(name + ": unknown field");
    }
    return ok_;
  }

 private:
  bool Has(const std::string& name) const {
    return object_.is_object() && object_.contains(name);
  }
  const std::string& MarkKnown(const std::string& name) {
    return *known_.insert(name).first;
  }
  template <typename T>
  T Required(const std::string& name, std::optional<T> value,
             const std::string& kind) {
    if (!value) Fail(name + ": needs " + kind);
    return value.value_or(T());
  }

  const Json& object_;
  const std::string section_;
  Error* error_;
  std::set<std::string> known_;
  bool ok_ = true;
};

// Whether the settings of the role have a rack.
template <typename Settings, typename = void>
struct HasRack : std::false_type {};
template <typename Settings>
struct HasRack<Settings, std::void_t<decltype(Settings::rack)>>
    : std::true_type {};

// "ip:port" with `index` added to the port; port 0 stays 0.
std::string AddressAt(const std::string& first, int64_t index) {
  auto endpoint = ParseEndpoint(first, nullptr);
  if (!endpoint || endpoint->port() == 0) return first;
  return endpoint->address().to_string() + ":" +
         std::to_string(endpoint->port() + index);
}

// Platforms assign a failure domain to every instance, so instances of a group
// without any are assigned to this one.
constexpr char kDefaultDomain[] = "a";

std::string FailureDomainAt(const std::vector<std::string>& domains,
                            int64_t index) {
  if (domains.empty()) return kDefaultDomain;
  return domains[static_cast<size_t>(index) % domains.size()];
}

// Reports an error if the last of `count` consecutive ports is above 65535.
void CheckPorts(const std::string& first, int64_t count, FieldReader* fields) {
  auto endpoint = ParseEndpoint(first, nullptr);
  if (!endpoint || endpoint->port() == 0) return;
  if (endpoint->port() + count - 1 > 65535) {
    fields->Fail("first_address: the ports run out");
  }
}

// Roles with equal settings, numbered names and consecutive ports.
struct RoleGroup {
  std::string prefix;
  int64_t count = 1;
  std::string first_address;
  std::vector<std::string> failure_domains;
};

RoleGroup ReadGroup(FieldReader* fields) {
  RoleGroup group;
  group.prefix = fields->String("name_prefix");
  group.count = fields->Int("count", 1, 1, kMaxCount);
  group.first_address = fields->Address("first_address");
  group.failure_domains = fields->Strings("failure_domains");
  CheckPorts(group.first_address, group.count, fields);
  return group;
}

// Appends one copy of `common` for each role of the group. Every `rack_size` of
// them share a rack and a failure domain.
template <typename Settings>
void Expand(const RoleGroup& group, const Settings& common, int64_t rack_size,
            std::vector<Settings>* roles) {
  for (int64_t index = 0; index < group.count; ++index) {
    Settings settings = common;
    const int64_t rack = index / rack_size;
    settings.name = group.prefix + std::to_string(index);
    settings.listen = AddressAt(group.first_address, index);
    settings.failure_domain = FailureDomainAt(group.failure_domains, rack);
    if constexpr (HasRack<Settings>::value) {
      settings.rack = group.prefix + "-rack" + std::to_string(rack);
    }
    roles->push_back(std::move(settings));
  }
}

bool ParseLog(const Json& json, StandinConfig* config, Error* error) {
  FieldReader fields(json, "log", error);
  LogRoleSettings settings;
  settings.listen = fields.Address("listen");
  settings.appends_per_second =
      fields.Int("appends_per_second", settings.appends_per_second);
  settings.retain_records = fields.Int("retain_records", 0);
  settings.retention = fields.Interval("retain_ms", settings.retention);
  config->log = settings;
  return fields.Finish();
}

bool ParseInstanceList(const Json& json, StandinConfig* config, Error* error) {
  FieldReader fields(json, "instance_list", error);
  InstanceListSettings settings;
  settings.listen = fields.Address("listen");
  settings.lag = fields.Interval("lag_ms", settings.lag);
  settings.include_own = fields.Bool("include_own", false);
  settings.instances = fields.Array("instances");
  config->instance_list = settings;
  return fields.Finish();
}

bool ParseWorkers(const Json& json, StandinConfig* config, Error* error) {
  FieldReader fields(json, "workers", error);
  const RoleGroup group = ReadGroup(&fields);
  const int64_t rack_size = fields.Int("racks_of", 6, 1);
  WorkerSettings common;
  common.accelerators = fields.Int("accelerators", common.accelerators);
  common.cores = fields.Int("cores", common.cores);
  common.memory_mb = fields.Int("memory_mb", common.memory_mb);
  common.checkpoint_time =
      fields.Interval("checkpoint_ms", common.checkpoint_time);
  common.usage_lag = fields.Interval("usage_lag_ms", common.usage_lag);
  if (!fields.Finish()) return false;
  Expand(group, common, rack_size, &config->workers);
  return true;
}

bool ParseExecutors(const Json& json, StandinConfig* config, Error* error) {
  FieldReader fields(json, "executors", error);
  const RoleGroup group = ReadGroup(&fields);
  ExecutorSettings common;
  common.service = fields.String("service");
  common.slots = fields.Int("slots", common.slots, 1);
  common.max_connections =
      fields.Int("max_connections", common.max_connections);
  common.service_time = fields.Interval("service_time_ms", common.service_time);
  if (!fields.Finish()) return false;
  Expand(group, common, /*rack_size=*/1, &config->executors);
  return true;
}

bool ParseUsersStore(const Json& json, StandinConfig* config, Error* error) {
  FieldReader fields(json, "users_store", error);
  UsersStoreSettings settings;
  settings.listen = fields.Address("listen");
  settings.answer_time = fields.Interval("answer_ms", settings.answer_time);
  config->users_store = settings;
  return fields.Finish();
}

bool ParseUsersAdvisor(const Json& json, StandinConfig* config, Error* error) {
  FieldReader fields(json, "users_advisor", error);
  UsersAdvisorSettings settings;
  settings.listen = fields.Address("listen");
  settings.decision_time =
      fields.Interval("decision_ms", settings.decision_time);
  settings.time_per_worker =
      fields.Interval("each_ms", settings.time_per_worker);
  settings.validity = fields.Interval("validity_ms", settings.validity);
  config->users_advisor = settings;
  return fields.Finish();
}

bool ParseUsersExecutors(const Json& json, StandinConfig* config,
                         Error* error) {
  FieldReader fields(json, "users_executors", error);
  const RoleGroup group = ReadGroup(&fields);
  const int64_t rack_size = fields.Int("racks_of", 6, 1);
  UsersExecutorSettings common;
  common.service = fields.String("service");
  common.capacity.cpu_millis = fields.Int("cpu_millis", 64000);
  common.capacity.memory_mb = fields.Int("memory_mb", 256000);
  common.capacity.accelerators = fields.Int("accelerators", 8);
  if (!fields.Finish()) return false;
  Expand(group, common, rack_size, &config->users_executors);
  return true;
}

bool ParseProxy(const Json& json, StandinConfig* config, Error* error) {
  FieldReader fields(json, "proxies", error);
  ProxySettings settings;
  settings.listen = fields.Address("listen");
  settings.control = fields.Address("control");
  settings.target = fields.String("target");
  config->proxies.push_back(settings);
  return fields.Finish();
}

// Names of roles that a proxy may have as its target.
std::set<std::string> RoleNames(const StandinConfig& config) {
  std::set<std::string> names;
  if (config.log) names.insert("log");
  if (config.instance_list) names.insert("instance_list");
  for (const WorkerSettings& worker : config.workers) names.insert(worker.name);
  for (const ExecutorSettings& executor : config.executors) {
    names.insert(executor.name);
  }
  if (config.users_store) names.insert("users_store");
  for (const UsersExecutorSettings& executor : config.users_executors) {
    names.insert(executor.name);
  }
  return names;
}

bool CheckNames(const StandinConfig& config, Error* error) {
  std::set<std::string> names = RoleNames(config);
  size_t roles = config.workers.size() + config.executors.size() +
                 config.users_executors.size() + (config.users_store ? 1 : 0) +
                 (config.log ? 1 : 0) + (config.instance_list ? 1 : 0);
  if (names.size() != roles) {
    SetError(error, "check config", "name_prefix", "two roles have one name");
    return false;
  }
  for (const ProxySettings& proxy : config.proxies) {
    if (names.count(proxy.target) > 0) continue;
    if (ParseEndpoint(proxy.target, nullptr)) continue;
    SetError(error, "check config", "proxies",
             "target: neither ip:port nor a role: " + proxy.target);
    return false;
  }
  return true;
}

}  // namespace

std::optional<StandinConfig> ParseStandinConfig(const Json& json,
                                                Error* error) {
  StandinConfig config;
  FieldReader fields(json, "config", error);
  config.threads = fields.Int("threads", config.threads, 1, kMaxThreads);
  Json log = fields.Object("log");
  Json instance_list = fields.Object("instance_list");
  Json workers = fields.Array("workers");
  Json executors = fields.Array("executors");
  Json users_store = fields.Object("users_store");
  Json users_executors = fields.Array("users_executors");
  Json users_advisor = fields.Object("users_advisor");
  Json proxies = fields.Array("proxies");
  if (!fields.Finish()) return std::nullopt;
  if (!log.is_null() && !ParseLog(log, &config, error)) return std::nullopt;
  if (!instance_list.is_null() &&
      !ParseInstanceList(instance_list, &config, error)) {
    return std::nullopt;
  }
  if (!users_store.is_null() && !ParseUsersStore(users_store, &config, error)) {
    return std::nullopt;
  }
  if (!users_advisor.is_null() &&
      !ParseUsersAdvisor(users_advisor, &config, error)) {
    return std::nullopt;
  }
  for (const Json& group : users_executors) {
    if (!ParseUsersExecutors(group, &config, error)) return std::nullopt;
  }
  for (const Json& group : workers) {
    if (!ParseWorkers(group, &config, error)) return std::nullopt;
  }
  for (const Json& group : executors) {
    if (!ParseExecutors(group, &config, error)) return std::nullopt;
  }
  for (const Json& proxy : proxies) {
    if (!ParseProxy(proxy, &config, error)) return std::nullopt;
  }
  if (!CheckNames(config, error)) return std::nullopt;
  return config;
}

}  // namespace thornplank::standins
