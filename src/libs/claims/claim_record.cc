// Converts claim records to and from JSON.
#include "claims/claim_record.h"

namespace thornplank {
namespace {

constexpr char kClaimName[] = "claim";
constexpr char kReleasedName[] = "released";
constexpr char kDoneName[] = "done";

const char* KindName(ClaimRecordKind kind) {
  switch (kind) {
    case ClaimRecordKind::kClaim:
      return kClaimName;
    case ClaimRecordKind::kReleased:
      return kReleasedName;
    case ClaimRecordKind::kDone:
      return kDoneName;
  }
  return "";
}

std::optional<ClaimRecordKind> ParseKind(const Json& data) {
  const auto name = StringField(data, "kind");
  if (name == kClaimName) return ClaimRecordKind::kClaim;
  if (name == kReleasedName) return ClaimRecordKind::kReleased;
  if (name == kDoneName) return ClaimRecordKind::kDone;
  return std::nullopt;
}

bool ReadString(const Json& data, std::string_view name, std::string* value,
                Error* error) {
  auto text = StringField(data, name);
  if (!text) {
    SetError(error, "read claim record", kClaimStream,
             "field '" + std::string(name) + "' is missing or not a string");
    return false;
  }
  *value = std::move(*text);
  return true;
}

bool ReadClaimFields(const Json& data, ClaimRecord* record, Error* error) {
  const auto key_time = IntField(data, "key_time_ms");
  std::string digest_text;
  if (!ReadString(data, "body_digest", &digest_text, error)) return false;
  const auto digest = ParseDigest(digest_text);
  if (!key_time || !digest) {
    SetError(error, "read claim record", kClaimStream,
             "key_time_ms or body_digest is malformed");
    return false;
  }
  record->key_time = FromUnixMilliseconds(*key_time);
  record->body_digest = *digest;
  return true;
}

}  // namespace

std::string LogRecordId(const ClaimRecord& record) {
  if (record.kind == ClaimRecordKind::kClaim) return record.claim_id;
  return record.claim_id + "-" + KindName(record.kind);
}

Json ToJson(const ClaimRecord& record) {
  Json data = {{"kind", KindName(record.kind)},
               {"account", record.account},
               {"service", record.service},
               {"key", record.key},
               {"entry", record.holder.entry},
               {"incarnation", record.holder.incarnation},
               {"claim", record.claim_id}};
  if (record.kind == ClaimRecordKind::kClaim) {
    data["key_time_ms"] = ToUnixMilliseconds(record.key_time);
    data["body_digest"] = ToHex(record.body_digest);
  }
  if (record.kind == ClaimRecordKind::kDone) data["status"] = record.status;
  return data;
}

std::optional<ClaimRecord> ParseClaimRecord(const Json& data, Error* error) {
  const auto kind = ParseKind(data);
  if (!kind) {
    SetError(error, "read claim record", kClaimStream, "unknown kind");
    return std::nullopt;
  }
  ClaimRecord record;
  record.kind = *kind;
  if (!ReadString(data, "account", &record.account, error) ||
      !ReadString(data, "service", &record.service, error) ||
      !ReadString(data, "key", &record.key, error) ||
      !ReadString(data, "entry", &record.holder.entry, error) ||
      !ReadString(data, "incarnation", &record.holder.incarnation, error) ||
      !ReadString(data, "claim", &record.claim_id, error)) {
    return std::nullopt;
  }
  if (*kind == ClaimRecordKind::kClaim &&
      !ReadClaimFields(data, &record, error)) {
    return std::nullopt;
  }
  record.status = static_cast<int>(IntField(data, "status").value_or(0));
  return record;
}

}  // namespace thornplank
