// Separates the fields that every line has from those of its event.
#include "logging/log_line.h"

#include <array>
#include <utility>

namespace thornplank {
namespace {

constexpr std::array<const char*, 5> kCommonFields = {
    "time_ms", "level", "instance", "event", "name"};

}  // namespace

std::optional<LogLine> ParseLogLine(std::string_view text) {
  const size_t brace = text.find('{');
  if (brace == std::string_view::npos) return std::nullopt;
  text.remove_prefix(brace);
  std::optional<Json> json = ParseJson(text);
  if (!json || !json->is_object()) return std::nullopt;
  const auto time = IntField(*json, "time_ms");
  const auto event = IntField(*json, "event");
  if (!time || !event) return std::nullopt;
  LogLine line;
  line.time = FromUnixMilliseconds(*time);
  line.instance = StringField(*json, "instance").value_or("");
  line.event_number = static_cast<int>(*event);
  line.name = StringField(*json, "name").value_or("");
  for (const char* field : kCommonFields) {
    json->erase(field);
  }
  line.fields = std::move(*json);
  return line;
}

}  // namespace thornplank
