// Rejects deeply nested JSON or CBOR from untrusted sources before it is
// parsed.
#ifndef THORNPLANK_BASE_JSON_DEPTH_CHECK_H_
#define THORNPLANK_BASE_JSON_DEPTH_CHECK_H_

#include <cstddef>

#include "base/json.h"

namespace thornplank {

// Reads a JSON text or a CBOR frame without building values and stops at
// nesting deeper than kMaxJsonDepth, because the parsers of nlohmann-json
// recurse once per level.
class JsonDepthCheck : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxJsonDepth; }
  bool end_object() override { return LeaveLevel(); }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxJsonDepth; }
  bool end_array() override { return LeaveLevel(); }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool LeaveLevel() {
    --depth_;
    return true;
  }

  int depth_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_BASE_JSON_DEPTH_CHECK_H_
