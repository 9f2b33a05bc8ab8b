// Implements case-insensitive header lookup and the parsing of targets.
#include "net/http_message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace thornplank {
namespace {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

// Decodes percent encoding and '+'. A malformed escape is left unchanged.
std::string DecodeQuery(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      decoded.push_back(' ');
      continue;
    }
    int value = 0;
    const char* begin = text.data() + i + 1;
    const bool escape =
        text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(begin, begin + 2, value, 16).ptr == begin + 2;
    if (!escape) {
      decoded.push_back(text[i]);
      continue;
    }
    decoded.push_back(static_cast<char>(value));
    i += 2;
  }
  return decoded;
}

}  // namespace

void HttpHeaders::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void HttpHeaders::Remove(std::string_view name) {
  fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                               [name](const auto& field) {
                                 return EqualsIgnoreCase(field.first, name);
                               }),
                fields_.end());
}

void HttpHeaders::Add(std::string_view name, std::string_view value) {
  fields_.emplace_back(std::string(name), std::string(value));
}

std::string HttpHeaders::Value(std::string_view name) const {
  for (const auto& [field, value] : fields_) {
    if (EqualsIgnoreCase(field, name)) return value;
  }
  return "";
}

bool HttpHeaders::Has(std::string_view name) const { return Count(name) > 0; }

size_t HttpHeaders::Count(std::string_view name) const {
  return std::count_if(fields_.begin(), fields_.end(),
                       [name](const auto& field) {
                         return EqualsIgnoreCase(field.first, name);
                       });
}

std::string HttpRequest::path() const {
  return target.substr(0, target.find('?'));
}

std::string HttpRequest::query(std::string_view name) const {
  const size_t mark = target.find('?');
  if (mark == std::string::npos) return "";
  std::string_view rest = target;
  rest.remove_prefix(mark + 1);
  while (!rest.empty()) {
    const size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const size_t equals = std::min(pair.find('='), pair.size());
    if (DecodeQuery(pair.substr(0, equals)) != name) continue;
    return DecodeQuery(pair.substr(std::min(equals + 1, pair.size())));
  }
  return "";
}

}  // namespace thornplank
