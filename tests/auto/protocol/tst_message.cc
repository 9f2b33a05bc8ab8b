// Encoding and decoding of messages and hellos, and refusal of malformed ones.
#include <doctest/doctest.h>

#include <string>

#include "protocol/hello.h"
#include "protocol/message.h"

namespace thornplank {
namespace {

std::string Cbor(const Json& json) {
  std::string frame;
  Json::to_cbor(json, frame);
  return frame;
}

Json NestedArrays(int depth) {
  Json json = Json::array();
  for (int i = 1; i < depth; ++i) json = Json::array({std::move(json)});
  return json;
}

TEST_CASE("messages are read back as written") {
  const Message messages[] = {
      {"heartbeat", 0, false, {{"sequence", 7}}},
      {"claim", 18446744073709551615u, false, Json::object()},
      {"claim", 5, true, {{"text", "\xff\x00 not UTF-8"}}},
  };
  for (const Message& message : messages) {
    CAPTURE(message.type);
    Error error;
    const auto read = DecodeMessage(EncodeMessage(message), &error);
    REQUIRE_MESSAGE(read, error.ToString());
    CHECK(read->type == message.type);
    CHECK(read->correlation_id == message.correlation_id);
    CHECK(read->is_reply == message.is_reply);
    CHECK(read->body == message.body);
  }
}

TEST_CASE("malformed frames are refused with a reason") {
  const std::string good = EncodeMessage({"heartbeat", 1, false, {{"a", 1}}});
  const struct {
    const char* what;
    std::string frame;
  } cases[] = {
      {"empty", ""},
      {"text", "{\"v\":1}"},
      {"cut", good.substr(0, good.size() - 1)},
      {"bytes after the end", good + '\0'},
      {"an array", Cbor(Json::array({1, 2}))},
      {"no version", Cbor({{"type", "a"}, {"body", Json::object()}})},
      {"another version",
       Cbor({{"v", 2}, {"type", "a"}, {"body", Json::object()}})},
      {"no type", Cbor({{"v", 1}, {"body", Json::object()}})},
      {"no body", Cbor({{"v", 1}, {"type", "a"}})},
      {"negative id",
       Cbor({{"v", 1}, {"type", "a"}, {"id", -1}, {"body", Json::object()}})},
      {"reply without id", Cbor({{"v", 1},
                                 {"type", "a"},
                                 {"reply", true},
                                 {"body", Json::object()}})},
      {"too deep", Cbor({{"v", 1}, {"type", "a"}, {"body", NestedArrays(64)}})},
      {"deep enough to overflow a stack", std::string(1 << 20, '\x81')},
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.what);
    Error error;
    CHECK_FALSE(DecodeMessage(entry.frame, &error));
    CHECK_FALSE(error.reason.empty());
  }
}

TEST_CASE("hellos with absent or unprintable names are refused") {
  const Json good = ToJson(Hello{"a", "1", "north", "secret", true});
  CHECK(HelloFromJson(good, nullptr));
  const struct {
    const char* field;
    Json value;
  } cases[] = {
      {"name", ""},        {"name", 3},
      {"name", "a\n"},     {"name", nullptr},
      {"incarnation", ""}, {"incarnation", "x y"},
      {"secret", nullptr}, {"failure_domain", std::string(200, 'x')},
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.field);
    Json body = good;
    body[entry.field] = entry.value;
    CHECK_FALSE(HelloFromJson(body, nullptr));
  }
}

}  // namespace
}  // namespace thornplank
