// Lookup and JSON form of the roster.
#include "coordination/replica_roster.h"

namespace thornplank {
namespace {

constexpr char kEpochField[] = "epoch";
constexpr char kNumberField[] = "number";
constexpr char kEntriesField[] = "entries";
constexpr char kReplicasField[] = "replicas";
constexpr char kNameField[] = "name";
constexpr char kAddressField[] = "address";
constexpr char kDomainField[] = "failure_domain";

std::optional<ReplicaAddress> ReadReplica(const Json& value) {
  const auto name = StringField(value, kNameField);
  const auto address = StringField(value, kAddressField);
  if (!name || !address) return std::nullopt;
  return ReplicaAddress{*name, *address,
                        StringField(value, kDomainField).value_or("")};
}

}  // namespace

std::optional<size_t> ReplicaRoster::PositionOf(const std::string& name) const {
  for (size_t i = 0; i < replicas.size(); ++i) {
    if (replicas[i].name == name) return i;
  }
  return std::nullopt;
}

Json ToJson(const ReplicaRoster& roster) {
  Json replicas = Json::array();
  for (const ReplicaAddress& replica : roster.replicas) {
    replicas.push_back({{kNameField, replica.name},
                        {kAddressField, replica.address},
                        {kDomainField, replica.failure_domain}});
  }
  return {{kEpochField, roster.epoch},
          {kNumberField, roster.number},
          {kEntriesField, roster.entries},
          {kReplicasField, std::move(replicas)}};
}

std::optional<ReplicaRoster> ReadRoster(const Json& value) {
  const auto epoch = IntField(value, kEpochField);
  const auto number = IntField(value, kNumberField);
  const Json* replicas = ArrayField(value, kReplicasField);
  if (!epoch || !number || replicas == nullptr) return std::nullopt;
  ReplicaRoster roster;
  roster.epoch = *epoch;
  roster.number = *number;
  roster.entries = IntField(value, kEntriesField).value_or(0);
  for (const Json& item : *replicas) {
    const std::optional<ReplicaAddress> replica = ReadReplica(item);
    if (!replica) return std::nullopt;
    roster.replicas.push_back(*replica);
  }
  return roster;
}

}  // namespace thornplank
