// Tests for JSON and CBOR parsing, in particular the depth limit.
#include <doctest/doctest.h>

#include <string>

#include "base/json.h"

namespace thornplank {
namespace {

std::string Nested(int levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

// Guards against a crash on a CBOR record that announces an absurd length: the
// library throws there even when exceptions are disabled.
TEST_CASE("malformed CBOR is rejected, whatever length it announces") {
  struct Case {
    const char* name;
    std::string bytes;
    bool read;
  };
  const Case cases[] = {
      {"a number", "\x05", true},
      {"an array of one", "\x81\x05", true},
      {"nothing", "", false},
      {"an array that ends early", "\x82\x05", false},
      {"an array longer than memory",
       "\x9b"
       "aaaaaaaa",
       false},
      {"an object longer than memory",
       "\xbb"
       "aaaaaaaa",
       false},
      {"more than one value", "\x05\x05", false},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    CHECK(ParseCbor(c.bytes).has_value() == c.read);
  }
}

TEST_CASE("JSON is accepted up to the maximum depth") {
  struct Case {
    std::string name;
    std::string text;
    bool read;
  };
  const std::string deepest = Nested(kMaxJsonDepth);
  const std::string deeper = Nested(kMaxJsonDepth + 1);
  std::string wide = "[0";
  for (int i = 0; i < 1000; ++i) wide += ",[{}]";
  const Case cases[] = {
      {"deepest", deepest, true},
      {"one deeper", deeper, false},
      {"objects", "{\"a\":" + deepest + "}", false},
      {"far deeper", Nested(1'000'000), false},
      {"without an end", std::string(1'000'000, '['), false},
      {"wide", wide + "]", true},
      {"brackets in a string", "\"" + deeper + "\"", true},
      {"brackets in a comment", "/*" + deeper + "*/1", true},
      {"behind a quote in a comment", "/*\"*/" + deeper, false},
      {"behind a quote in a string", "[\"\\\"\"," + deepest + "]", false},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    CHECK(ParseJson(c.text).has_value() == c.read);
  }
}

TEST_CASE("IsDeeperThan compares the nesting depth") {
  const Json value = {{"a", Json::array({1, Json::array()})}};
  CHECK_FALSE(IsDeeperThan(value, 3));
  CHECK(IsDeeperThan(value, 2));
  CHECK_FALSE(IsDeeperThan(Json(7), 0));
}

}  // namespace
}  // namespace thornplank
