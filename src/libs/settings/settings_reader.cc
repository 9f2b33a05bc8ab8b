// Checks of the declared keys and the texts of the problems.
#include "settings/settings_reader.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <set>
#include <sstream>

#include "base/numeric_address.h"

namespace thornplank {
namespace {

// Longer JSON texts are truncated in problems.
constexpr size_t kMaxTextBytes = 60;
constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxShortTextBytes = 255;
constexpr int kNumberDigits = 15;

// Suffixes that name a unit, by which a key with a wrong unit is recognised.
constexpr std::string_view kUnits[] = {
    "ms",  "s",       "sec",   "secs", "seconds", "us", "ns",
    "min", "minutes", "bytes", "kb",   "mb",      "gb", "milliseconds",
    "h",   "hours"};

std::string AsText(const Json& value) {
  std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxTextBytes) {
    text = text.substr(0, kMaxTextBytes) + "...";
  }
  return text;
}

std::string WithType(const Json& value) {
  return std::string(value.type_name()) + " " + AsText(value);
}

std::string NumberText(double value) {
  std::ostringstream text;
  text.precision(kNumberDigits);
  text << value;
  return text.str();
}

bool IsValidName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  if (std::isalnum(static_cast<unsigned char>(text[0])) == 0) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' ||
           c == '_' || c == '-';
  });
}

// The key without its unit suffix, which goes to `*unit` ("" if there is none).
std::string WithoutUnit(const std::string& key, std::string* unit) {
  unit->clear();
  const size_t underscore = key.rfind('_');
  if (underscore == std::string::npos) return key;
  const std::string suffix = key.substr(underscore + 1);
  for (const std::string_view known : kUnits) {
    if (suffix != known) continue;
    *unit = suffix;
    return key.substr(0, underscore);
  }
  return key;
}

std::string Join(const std::vector<std::string>& names,
                 const std::string& separator) {
  std::string text;
  for (const std::string& name : names) {
    if (!text.empty()) text += separator;
    text += name;
  }
  return text;
}

}  // namespace

std::string SettingsProblem::ToString() const {
  const std::string body = "found " + found + ", allowed " + allowed;
  return key.empty() ? body : key + ": " + body;
}

TextRule NonEmptyText() {
  return {"text that is not empty",
          [](const std::string& text) { return !text.empty(); }};
}

TextRule ShortText() {
  return {"text that is not empty, of at most 255 bytes",
          [](const std::string& text) {
            return !text.empty() && text.size() <= kMaxShortTextBytes;
          }};
}

TextRule NameText() {
  return {"a name of letters, digits, '.', '_' and '-', at most 64 bytes",
          IsValidName};
}

TextRule AddressText() {
  return {"a numeric IP with a port, such as 127.0.0.1:8080",
          [](const std::string& text) { return IsNumericAddress(text, 1); }};
}

TextRule ListenAddressText() {
  return {"a numeric IP with a port (0 takes a free one)",
          [](const std::string& text) { return IsNumericAddress(text, 0); }};
}

TextRule SecretText(size_t min_bytes) {
  return {
      "text of at least " + std::to_string(min_bytes) + " bytes",
      [min_bytes](const std::string& text) { return text.size() >= min_bytes; },
      /*secret=*/true};
}

SettingsReader::SettingsReader(const Json& value, std::string path)
    : value_(value), path_(std::move(path)) {}

std::string SettingsReader::PathOf(const std::string& key) const {
  if (path_.empty()) return key;
  return key.empty() ? path_ : path_ + "." + key;
}

void SettingsReader::Report(const std::string& key, std::string found,
                            std::string allowed) {
  problems_.push_back({PathOf(key), std::move(found), std::move(allowed)});
}

const Json* SettingsReader::Declare(const std::string& key, Presence presence) {
  declared_keys_.push_back(key);
  if (!value_.is_object()) return nullptr;
  const auto it = value_.find(key);
  if (it != value_.end()) return &*it;
  if (presence == Presence::kRequired) missing_keys_.push_back(key);
  return nullptr;
}

void SettingsReader::Bool(const std::string& key, Presence presence,
                          bool* value) {
  const Json* json = Declare(key, presence);
  if (json == nullptr) return;
  if (!json->is_boolean()) return Report(key, WithType(*json), "true or false");
  *value = json->get<bool>();
}

void SettingsReader::Number(const std::string& key, Presence presence,
                            NumberRange range, double* value) {
  const Json* json = Declare(key, presence);
  if (json == nullptr) return;
  std::string allowed = range.above_min ? "a number above " : "a number from ";
  allowed += NumberText(range.min);
  if (range.max < std::numeric_limits<double>::max()) {
    allowed += " to " + NumberText(range.max);
  }
  if (!json->is_number()) return Report(key, WithType(*json), allowed);
  const double read = json->get<double>();
  const bool too_small = range.above_min ? read <= range.min : read < range.min;
  if (too_small || read > range.max) return Report(key, AsText(*json), allowed);
  *value = read;
}

std::optional<int64_t> SettingsReader::ReadInt(const std::string& key,
                                               Presence presence,
                                               IntRange range) {
  const Json* json = Declare(key, presence);
  if (json == nullptr) return std::nullopt;
  std::string allowed = "a whole number from " + std::to_string(range.min);
  if (range.max < std::numeric_limits<int64_t>::max()) {
    allowed += " to " + std::to_string(range.max);
  }
  if (!json->is_number_integer()) {
    Report(key, WithType(*json), allowed);
    return std::nullopt;
  }
  const bool too_large_for_type =
      json->is_number_unsigned() &&
      json->get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  const int64_t read = too_large_for_type ? 0 : json->get<int64_t>();
  if (too_large_for_type || read < range.min || read > range.max) {
    Report(key, AsText(*json), allowed);
    return std::nullopt;
  }
  return read;
}

void SettingsReader::Duration(const std::string& key, Presence presence,
                              DurationRange range, Milliseconds* value) {
  const std::optional<int64_t> read =
      ReadInt(key, presence, {range.min.count(), range.max.count()});
  if (read) *value = Milliseconds(*read);
}

void SettingsReader::Seconds(const std::string& key, Presence presence,
                             DurationRange range, Milliseconds* value) {
  using DoubleSeconds = std::chrono::duration<double>;
  double seconds = DoubleSeconds(*value).count();
  const NumberRange allowed{DoubleSeconds(range.min).count(),
                            DoubleSeconds(range.max).count()};
  Number(key, presence, allowed, &seconds);
  *value = std::chrono::duration_cast<Milliseconds>(DoubleSeconds(seconds));
}

std::optional<size_t> SettingsReader::ReadChoice(
    const std::string& key, Presence presence,
    const std::vector<std::string>& names) {
  const Json* json = Declare(key, presence);
  if (json == nullptr) return std::nullopt;
  if (json->is_string()) {
    const auto it =
        std::find(names.begin(), names.end(), json->get<std::string>());
    if (it != names.end()) return it - names.begin();
  }
  Report(key, json->is_string() ? AsText(*json) : WithType(*json),
         "one of " + Join(names, ", "));
  return std::nullopt;
}

bool SettingsReader::CheckText(const std::string& key, const Json& value,
                               const TextRule& rule) {
  if (!value.is_string()) {
    Report(key, rule.secret ? std::string(value.type_name()) : WithType(value),
           rule.allowed);
    return false;
  }
  const std::string text = value.get<std::string>();
  if (rule.accepts(text)) return true;
  Report(key,
         rule.secret ? std::to_string(text.size()) + " bytes" : AsText(value),
         rule.allowed);
  return false;
}

void SettingsReader::Text(const std::string& key, Presence presence,
                          const TextRule& rule, std::string* value) {
  const Json* json = Declare(key, presence);
  if (json == nullptr || !CheckText(key, *json, rule)) return;
  *value = json->get<std::string>();
}

void SettingsReader::TextList(const std::string& key, Presence presence,
                              const TextRule& rule,
                              std::vector<std::string>* value) {
  const Json* json = Declare(key, presence);
  if (json == nullptr) return;
  if (!json->is_array()) return Report(key, WithType(*json), "a list");
  std::vector<std::string> read;
  std::set<std::string> seen;
  for (size_t i = 0; i < json->size(); ++i) {
    const std::string item_key = key + "[" + std::to_string(i) + "]";
    if (!CheckText(item_key, (*json)[i], rule)) return;
    read.push_back((*json)[i].get<std::string>());
    if (seen.insert(read.back()).second) continue;
    return Report(item_key, AsText((*json)[i]) + " a second time",
                  "each value once");
  }
  *value = std::move(read);
}

void SettingsReader::Section(const std::string& key, Presence presence,
                             const std::function<void(SettingsReader&)>& read) {
  const Json* json = Declare(key, presence);
  if (json == nullptr) return;
  SettingsReader section(*json, PathOf(key));
  read(section);
  for (SettingsProblem& problem : section.Finish()) {
    problems_.push_back(std::move(problem));
  }
}

void SettingsReader::List(const std::string& key, Presence presence,
                          size_t min_items,
                          const std::function<void(SettingsReader&)>& read,
                          bool* present) {
  const Json* json = Declare(key, presence);
  if (present != nullptr) *present = json != nullptr;
  if (json == nullptr) return;
  if (!json->is_array()) return Report(key, WithType(*json), "a list");
  if (json->size() < min_items) {
    return Report(key, std::to_string(json->size()) + " items",
                  "at least " + std::to_string(min_items));
  }
  for (size_t i = 0; i < json->size(); ++i) {
    SettingsReader item((*json)[i],
                        PathOf(key) + "[" + std::to_string(i) + "]");
    read(item);
    for (SettingsProblem& problem : item.Finish()) {
      problems_.push_back(std::move(problem));
    }
  }
}

std::string SettingsReader::KeyWithOtherUnit(const std::string& key) const {
  std::string unit;
  const std::string base = WithoutUnit(key, &unit);
  for (const std::string& declared : declared_keys_) {
    std::string declared_unit;
    const bool same_base = WithoutUnit(declared, &declared_unit) == base;
    if (same_base && !declared_unit.empty()) return declared;
  }
  return "";
}

std::vector<SettingsProblem> SettingsReader::Finish() {
  std::vector<SettingsProblem> all;
  if (!value_.is_object()) {
    all.push_back({path_, WithType(value_), "an object"});
    return all;
  }
  std::set<std::string> explained_keys;
  for (const auto& [key, unused] : value_.items()) {
    if (std::find(declared_keys_.begin(), declared_keys_.end(), key) !=
        declared_keys_.end()) {
      continue;
    }
    const std::string other = KeyWithOtherUnit(key);
    if (other.empty()) {
      all.push_back(
          {PathOf(key), "an unknown key", Join(declared_keys_, ", ")});
      continue;
    }
    explained_keys.insert(other);
    all.push_back({PathOf(key), "a key of another unit", other});
  }
  for (const std::string& key : missing_keys_) {
    if (explained_keys.count(key) > 0) continue;
    all.push_back({PathOf(key), "nothing", "a value: the key is required"});
  }
  all.insert(all.end(), problems_.begin(), problems_.end());
  return all;
}

std::optional<Json> LoadSettingsFile(const std::string& path, Error* error) {
  std::ifstream file(path);
  if (!file) {
    SetError(error, "read settings", path,
             "found no readable file, allowed a JSON file");
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  std::optional<Json> json = ParseJson(text.str());
  if (!json) {
    SetError(error, "read settings", path,
             "found malformed JSON, allowed JSON with comments");
    return std::nullopt;
  }
  return json;
}

std::string SettingsErrorLine(const Error& error) {
  return error.peer + ": " + error.reason;
}

}  // namespace thornplank
