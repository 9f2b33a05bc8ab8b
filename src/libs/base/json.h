// Reading of JSON values without exceptions.
//
// The same value type serves settings files, HTTP bodies and, as CBOR, the
// inner protocol.
#ifndef THORNPLANK_BASE_JSON_H_
#define THORNPLANK_BASE_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace thornplank {

using Json = nlohmann::json;

// Values nested deeper than this are not read: copying and writing recurse once
// a level, and what one entry takes in must fit into every frame between peers.
inline constexpr int kMaxJsonDepth = 64;

// Parses JSON text (comments are allowed); nullopt when malformed or nested
// deeper than kMaxJsonDepth.
std::optional<Json> ParseJson(std::string_view text);

// Reads one value from CBOR; nullopt when malformed.
std::optional<Json> ParseCbor(std::string_view bytes);

// Whether `value` has more than `levels` objects and arrays inside each other.
bool IsDeeperThan(const Json& value, int levels);

// Fields of an object; nullopt when absent or of another type. `object` may
// be of any type.
std::optional<std::string> StringField(const Json& object,
                                       std::string_view name);
std::optional<int64_t> IntField(const Json& object, std::string_view name);
std::optional<double> NumberField(const Json& object, std::string_view name);
std::optional<bool> BoolField(const Json& object, std::string_view name);
// The field when it is an array or an object, else nullptr.
const Json* ArrayField(const Json& object, std::string_view name);
const Json* ObjectField(const Json& object, std::string_view name);

}  // namespace thornplank

#endif  // THORNPLANK_BASE_JSON_H_
