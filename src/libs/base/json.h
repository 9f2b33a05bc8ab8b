// Reads JSON values without exceptions.
//
// The same value type is used for settings files, HTTP bodies and, encoded as
// CBOR, the peer protocol.
#ifndef THORNPLANK_BASE_JSON_H_
#define THORNPLANK_BASE_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace thornplank {

using Json = nlohmann::json;

// Maximum nesting depth of a value that is read. Copying and serializing
// recurse once per level, and a value that one entry accepts must also be
// accepted when it is sent to a peer.
inline constexpr int kMaxJsonDepth = 64;

// Parses JSON text (comments are allowed); nullopt when malformed or nested
// deeper than kMaxJsonDepth.
std::optional<Json> ParseJson(std::string_view text);

// Parses one CBOR value; nullopt when malformed.
std::optional<Json> ParseCbor(std::string_view bytes);

// Whether objects and arrays in `value` are nested more than `levels` deep.
bool IsDeeperThan(const Json& value, int levels);

// Return a field of an object; nullopt when it is absent or of another type.
// `object` may be any JSON value.
std::optional<std::string> StringField(const Json& object,
                                       std::string_view name);
std::optional<int64_t> IntField(const Json& object, std::string_view name);
std::optional<double> NumberField(const Json& object, std::string_view name);
std::optional<bool> BoolField(const Json& object, std::string_view name);
// Return the field when it is an array or an object, respectively, else
// nullptr.
const Json* ArrayField(const Json& object, std::string_view name);
const Json* ObjectField(const Json& object, std::string_view name);

}  // namespace thornplank

#endif  // THORNPLANK_BASE_JSON_H_
