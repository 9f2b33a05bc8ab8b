// Typed, exception-free access to JSON fields.
#include "base/json.h"

namespace thornplank {
namespace {

const Json* FindField(const Json& object, std::string_view name) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(std::string(name));
  return it == object.end() ? nullptr : &*it;
}

}  // namespace

std::optional<Json> ParseJson(std::string_view text) {
  Json value = Json::parse(text, nullptr, /*allow_exceptions=*/false,
                           /*ignore_comments=*/true);
  if (value.is_discarded()) return std::nullopt;
  return value;
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
