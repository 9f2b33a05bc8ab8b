// Encoding and validation of the hello message.
#include "protocol/hello.h"

#include <algorithm>

namespace thornplank {
namespace {

constexpr size_t kMaxNameLength = 128;

bool IsPrintable(const std::string& text) {
  return text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

bool IsName(const std::optional<std::string>& text) {
  return text && !text->empty() && IsPrintable(*text);
}

// Operators choose the names of failure domains, which may contain any UTF-8.
bool IsLabel(const std::optional<std::string>& text) {
  return text && text->size() <= kMaxNameLength;
}

}  // namespace

Json ToJson(const Hello& hello) {
  return {{"name", hello.name},
          {"incarnation", hello.incarnation},
          {"failure_domain", hello.failure_domain},
          {"secret", hello.secret},
          {"kept", hello.kept}};
}

std::optional<Hello> HelloFromJson(const Json& body, Error* error) {
  const std::optional<std::string> name = StringField(body, "name");
  const std::optional<std::string> incarnation =
      StringField(body, "incarnation");
  const std::optional<std::string> failure_domain =
      StringField(body, "failure_domain");
  const std::optional<std::string> secret = StringField(body, "secret");
  if (!IsName(name) || !IsName(incarnation) || !IsLabel(failure_domain) ||
      !secret) {
    SetError(error, "read hello", "", "a field is absent or malformed");
    return std::nullopt;
  }
  return Hello{*name, *incarnation, *failure_domain, *secret,
               BoolField(body, "kept").value_or(true)};
}

bool SecretsEqual(const std::string& left, const std::string& right) {
  if (left.size() != right.size()) return false;
  unsigned difference = 0;
  for (size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^
                  static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace thornplank
