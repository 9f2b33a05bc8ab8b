// The value of a record is [version, Unix milliseconds, queue, [account, ...]]
// as CBOR. Its key is a letter, the id of the job and a digest of the value.
#include "coordination/early_cancellations.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

#include "base/json.h"

namespace thornplank {
namespace {

// Sorts before the key of a submission.
constexpr char kKeyLetter = 'b';
constexpr size_t kDigestDigits = 16;
constexpr int kVersion = 1;

std::string KeyPrefix(const std::string& job) { return kKeyLetter + job; }

std::string DigestOf(const std::string& bytes) {
  char text[kDigestDigits + 1];
  const XXH64_hash_t digest = XXH3_64bits(bytes.data(), bytes.size());
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(digest));  // NOLINT
  return std::string(text, kDigestDigits);
}

std::optional<EarlyCancellation> Decode(const KeyedRecord& record) {
  const Json fields = ParseCbor(*record.value).value_or(Json());
  EarlyCancellation cancellation;
  cancellation.job = record.key.substr(1, kJobIdDigits);
  cancellation.offset = record.offset;
  // The JSON library throws on wrong types; no exception leaves this function.
  try {
    if (fields.at(0).get<int>() != kVersion) return std::nullopt;
    cancellation.requested = FromUnixMilliseconds(fields.at(1).get<int64_t>());
    cancellation.caller.queue = fields.at(2).get<std::string>();
    cancellation.caller.accounts = fields.at(3).get<std::vector<std::string>>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return cancellation;
}

// The queue matters only to a caller without an account.
bool IsSame(const CallerIdentity& one, const CallerIdentity& other) {
  if (one.accounts != other.accounts) return false;
  return !one.accounts.empty() || one.queue == other.queue;
}

// Whose number of cancellations is limited.
std::string HolderOf(const CallerIdentity& caller) {
  return caller.accounts.empty() ? "queue " + caller.queue
                                 : "account " + caller.account();
}

}  // namespace

KeyedRecord EarlyCancellations::ToRecord(
    const EarlyCancellation& cancellation) {
  const Json fields = Json::array(
      {kVersion, ToUnixMilliseconds(cancellation.requested),
       cancellation.caller.queue, Json(cancellation.caller.accounts)});
  std::string value;
  Json::to_cbor(fields, value);
  std::string key = KeyPrefix(cancellation.job) + DigestOf(value);
  return {std::move(key), std::move(value), 0};
}

bool EarlyCancellations::IsKey(const std::string& key) {
  return key.size() == 1 + kJobIdDigits + kDigestDigits &&
         key[0] == kKeyLetter && IsJobId(key.substr(1, kJobIdDigits));
}

std::optional<EarlyCancellation> EarlyCancellations::Apply(
    const KeyedRecord& record) {
  const auto known = by_key_.find(record.key);
  if (!record.value) {
    if (known != by_key_.end()) Remove(known);
    return std::nullopt;
  }
  if (known != by_key_.end()) return std::nullopt;
  std::optional<EarlyCancellation> cancellation = Decode(record);
  if (!cancellation) return std::nullopt;
  ++counts_[HolderOf(cancellation->caller)];
  by_key_[record.key] = *cancellation;
  return cancellation;
}

void EarlyCancellations::OnSnapshot(const std::set<std::string>& keys) {
  for (auto it = by_key_.cbegin(); it != by_key_.cend();) {
    const auto cancellation = it++;
    if (keys.count(cancellation->first) == 0) Remove(cancellation);
  }
}

const EarlyCancellation* EarlyCancellations::FindFor(
    const JobDefinition& job) const {
  const EarlyCancellation* first = nullptr;
  const auto [begin, end] = RangeOf(job.id);
  for (auto it = begin; it != end; ++it) {
    const EarlyCancellation& cancellation = it->second;
    if (!MayAccess(cancellation.caller, job)) continue;
    if (first != nullptr && first->offset < cancellation.offset) continue;
    first = &cancellation;
  }
  return first;
}

bool EarlyCancellations::IsRepeated(const std::string& job,
                                    const CallerIdentity& caller,
                                    WallTime now) const {
  const auto [begin, end] = RangeOf(job);
  return std::any_of(begin, end, [&](const auto& entry) {
    return IsSame(entry.second.caller, caller) &&
           now - entry.second.requested < kEarlyCancellationRepeat;
  });
}

bool EarlyCancellations::IsFull(const CallerIdentity& caller) const {
  const auto count = counts_.find(HolderOf(caller));
  return count != counts_.end() && count->second >= kMaxEarlyCancellations;
}

std::vector<KeyedRecord> EarlyCancellations::TombstonesOfExpired(
    WallTime now,
    const std::function<bool(const EarlyCancellation&)>& needed) const {
  std::vector<KeyedRecord> records;
  for (const auto& [key, cancellation] : by_key_) {
    if (now - cancellation.requested < kEarlyCancellationTtl) continue;
    if (needed(cancellation)) continue;
    records.push_back({key, std::nullopt, 0});
  }
  return records;
}

std::pair<EarlyCancellations::Map::const_iterator,
          EarlyCancellations::Map::const_iterator>
EarlyCancellations::RangeOf(const std::string& job) const {
  const std::string prefix = KeyPrefix(job);
  // Digests consist of hexadecimal digits, which sort before this one.
  return {by_key_.lower_bound(prefix), by_key_.lower_bound(prefix + '~')};
}

void EarlyCancellations::Remove(Map::const_iterator cancellation) {
  const auto count = counts_.find(HolderOf(cancellation->second.caller));
  if (--count->second == 0) counts_.erase(count);
  by_key_.erase(cancellation);
}

}  // namespace thornplank
