// Typed, exception-free access to JSON fields.
#include "base/json.h"

#include <algorithm>

#include "base/json_depth_check.h"

namespace thornplank {
namespace {

bool MayBeTooDeep(std::string_view text) {
  const auto opens = [](char c) { return c == '[' || c == '{'; };
  return std::count_if(text.begin(), text.end(), opens) > kMaxJsonDepth;
}

const Json* FindField(const Json& object, std::string_view name) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(std::string(name));
  return it == object.end() ? nullptr : &*it;
}

}  // namespace

std::optional<Json> ParseJson(std::string_view text) {
  // Counting brackets is cheap and spares most texts the depth check.
  if (MayBeTooDeep(text)) {
    JsonDepthCheck check;
    if (!Json::sax_parse(text, &check, Json::input_format_t::json,
                         /*strict=*/true, /*ignore_comments=*/true)) {
      return std::nullopt;
    }
  }
  Json value = Json::parse(text, nullptr, /*allow_exceptions=*/false,
                           /*ignore_comments=*/true);
  if (value.is_discarded()) return std::nullopt;
  return value;
}

std::optional<Json> ParseCbor(std::string_view bytes) {
  // The library throws on lengths that exceed the size of any container even
  // when exceptions are disabled.
  try {
    Json value = Json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true,
                                 /*allow_exceptions=*/false);
    if (value.is_discarded()) return std::nullopt;
    return value;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

bool IsDeeperThan(const Json& value, int levels) {
  if (!value.is_structured()) return false;
  if (levels <= 0) return true;
  return std::any_of(value.begin(), value.end(), [levels](const Json& item) {
    return IsDeeperThan(item, levels - 1);
  });
}

std::optional<std::string> StringField(const Json& object,
                                       std::string_view name) {
  const Json* field = FindField(object, name);
  if (field == nullptr || !field->is_string()) return std::nullopt;
  return field->get<std::string>();
}

std::optional<int64_t> IntField(const Json& object, std::string_view name) {
  const Json* field = FindField(object, name);
  if (field == nullptr || !field->is_number_integer()) return std::nullopt;
  return field->get<int64_t>();
}

std::optional<double> NumberField(const Json& object, std::string_view name) {
  const Json* field = FindField(object, name);
  if (field == nullptr || !field->is_number()) return std::nullopt;
  return field->get<double>();
}

std::optional<bool> BoolField(const Json& object, std::string_view name) {
  const Json* field = FindField(object, name);
  if (field == nullptr || !field->is_boolean()) return std::nullopt;
  return field->get<bool>();
}

const Json* ArrayField(const Json& object, std::string_view name) {
  const Json* field = FindField(object, name);
  return field != nullptr && field->is_array() ? field : nullptr;
}

const Json* ObjectField(const Json& object, std::string_view name) {
  const Json* field = FindField(object, name);
  return field != nullptr && field->is_object() ? field : nullptr;
}

}  // namespace thornplank
