// The record of workers without renewals, as it is stored.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "base/json.h"
#include "workload/renewal_stop.h"

namespace thornplank {
namespace {

std::string ToCbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

TEST_CASE("a record is read as it was written") {
  RenewalStopRecord record;
  record.epoch = 7;
  record.stops = {{"w1", Milliseconds(0)}, {"w2", Milliseconds(13200)}};
  Error error;
  const auto read = DecodeRenewalStops(EncodeRenewalStops(record), &error);
  REQUIRE(read.has_value());
  CHECK(read->epoch == 7);
  REQUIRE(read->stops.size() == 2);
  CHECK(read->stops[1].worker == "w2");
  CHECK(read->stops[1].lease_left == Milliseconds(13200));
}

// Guards against a time that is made up from a record of another form: it would
// end the wait for a run that is at work.
TEST_CASE("a record that cannot be read says nothing") {
  const std::vector<std::string> records = {
      "",
      "text",
      ToCbor(Json::array()),
      ToCbor(Json::array({2, 7, Json::array()})),
      ToCbor(Json::array({1, "7", Json::array()})),
      ToCbor(Json::array({1, 7, Json::array({"w1"})})),
      ToCbor(Json::array({1, 7, Json::array({Json::array({"w1", "5"})})})),
      ToCbor(Json::array({1, 7, Json::array({Json::array({"w1", -5})})})),
  };
  for (const std::string& record : records) {
    CAPTURE(record);
    Error error;
    CHECK_FALSE(DecodeRenewalStops(record, &error).has_value());
    CHECK(!error.step.empty());
  }
}

}  // namespace
}  // namespace thornplank
