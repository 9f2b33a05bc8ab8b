// Declarative reading of settings in JSON: each key is declared with its type
// and range, checked, and read into a plain struct.
//
// Every key that is not declared, is missing, has another type or unit, or is
// out of range becomes one SettingsProblem. Programs use it through
// ReadSettingsFile; the settings tree uses it for the values of a node.
#ifndef THORNPLANK_SETTINGS_SETTINGS_READER_H_
#define THORNPLANK_SETTINGS_SETTINGS_READER_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "base/time.h"

namespace thornplank {

// One error in the settings.
struct SettingsProblem {
  // Path of the key: "log.level", "tokens[1].role".
  std::string key;
  std::string found;
  std::string allowed;

  // "key: found X, allowed Y" in one line.
  std::string ToString() const;
};

enum class Presence { kRequired, kOptional };

// Inclusive bounds.
struct IntRange {
  int64_t min = 0;
  int64_t max = std::numeric_limits<int64_t>::max();
};
struct NumberRange {
  double min = 0;
  double max = std::numeric_limits<double>::max();
  // Excludes `min` itself.
  bool above_min = false;
};
struct DurationRange {
  Milliseconds min{0};
  Milliseconds max{0};
};

// Which values a text key accepts.
struct TextRule {
  // Shown to the operator after "allowed".
  std::string allowed;
  std::function<bool(const std::string&)> accepts;
  // The value is a secret, which no problem may show.
  bool secret = false;
};

// Any text that is not empty.
TextRule NonEmptyText();
// Any text that is not empty, of at most 255 bytes.
TextRule ShortText();
// Letters, digits, '.', '_' and '-', beginning with a letter or digit; at most
// 64 bytes.
TextRule NameText();
// "ip:port" or "[ipv6]:port" with a numeric IP and a port of 1 to 65535.
TextRule AddressText();
// The same, port 0 included, which chooses a free port.
TextRule ListenAddressText();
// At least `min_bytes` bytes; never shown.
TextRule SecretText(size_t min_bytes);

class SettingsReader {
 public:
  // `value` must outlive the reader. `path` is the key path of `value`, ""
  // for a whole file.
  explicit SettingsReader(const Json& value, std::string path = "");

  // Each call declares one key. `*value` is left unchanged if the key is absent
  // or has a problem.
  void Bool(const std::string& key, Presence presence, bool* value);
  void Number(const std::string& key, Presence presence, NumberRange range,
              double* value);
  void Text(const std::string& key, Presence presence, const TextRule& rule,
            std::string* value);
  // A whole number of milliseconds; the key ends in "_ms".
  void Duration(const std::string& key, Presence presence, DurationRange range,
                Milliseconds* value);
  // A number of seconds, fractions included; the key ends in "_s".
  void Seconds(const std::string& key, Presence presence, DurationRange range,
               Milliseconds* value);
  // A list of texts, none twice.
  void TextList(const std::string& key, Presence presence, const TextRule& rule,
                std::vector<std::string>* value);
  template <typename Integer>
  void Int(const std::string& key, Presence presence, IntRange range,
           Integer* value) {
    const std::optional<int64_t> read = ReadInt(key, presence, range);
    if (read) *value = static_cast<Integer>(*read);
  }
  // Returns true if `*value` was read.
  template <typename Choice>
  bool Choose(const std::string& key, Presence presence,
              const std::vector<std::pair<std::string, Choice>>& choices,
              Choice* value) {
    std::vector<std::string> names;
    names.reserve(choices.size());
    for (const auto& choice : choices) names.push_back(choice.first);
    const std::optional<size_t> index = ReadChoice(key, presence, names);
    if (!index) return false;
    *value = choices[*index].second;
    return true;
  }

  // An object, whose keys `read` declares on a reader of its own.
  void Section(const std::string& key, Presence presence,
               const std::function<void(SettingsReader&)>& read);
  // A list of objects; `read` runs once for each, with a reader of its own.
  // `*present` (may be null) tells whether the key exists.
  void List(const std::string& key, Presence presence, size_t min_items,
            const std::function<void(SettingsReader&)>& read,
            bool* present = nullptr);

  // Reports a problem that the declarations do not detect, such as one between
  // several keys; an empty `key` stands for the whole value of this reader.
  void Report(const std::string& key, std::string found, std::string allowed);

  // Returns all problems, including keys that were not declared; to be called
  // after the last declaration. They come in the order in which an operator
  // fixes them best: unknown keys before missing ones.
  std::vector<SettingsProblem> Finish();

  const std::string& path() const { return path_; }

 private:
  std::optional<int64_t> ReadInt(const std::string& key, Presence presence,
                                 IntRange range);
  std::optional<size_t> ReadChoice(const std::string& key, Presence presence,
                                   const std::vector<std::string>& names);
  // Declares `key`; returns its value, or nullptr if absent.
  const Json* Declare(const std::string& key, Presence presence);
  // Whether the text at `key` satisfies `rule`; reports a problem if not.
  bool CheckText(const std::string& key, const Json& value,
                 const TextRule& rule);
  std::string PathOf(const std::string& key) const;
  // The declared key that differs from `key` only in its unit, or "".
  std::string KeyWithOtherUnit(const std::string& key) const;

  const Json& value_;
  const std::string path_;
  std::vector<std::string> declared_keys_;
  // Required keys that are absent.
  std::vector<std::string> missing_keys_;
  std::vector<SettingsProblem> problems_;
};

// Parses the JSON file at `path`, which may contain comments. Returns nullopt
// with `*error` set on failure; Error::peer is then the path.
std::optional<Json> LoadSettingsFile(const std::string& path, Error* error);
// "file: key: found X, allowed Y", for an error of ReadSettingsFile.
std::string SettingsErrorLine(const Error& error);

// Reads the JSON file at `path`, whose keys `read` declares. Returns nullopt if
// the file is invalid; `*error` then holds the first problem, and Error::peer
// is the path.
template <typename Settings>
std::optional<Settings> ReadSettingsFile(
    const std::string& path,
    const std::function<void(SettingsReader&, Settings*)>& read, Error* error) {
  const std::optional<Json> json = LoadSettingsFile(path, error);
  if (!json) return std::nullopt;
  SettingsReader reader(*json);
  Settings settings;
  read(reader, &settings);
  const std::vector<SettingsProblem> problems = reader.Finish();
  if (problems.empty()) return settings;
  SetError(error, "read settings", path, problems.front().ToString());
  return std::nullopt;
}

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_READER_H_
