// The record of announced departures, as it is stored.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "base/json.h"
#include "workload/departure_record.h"

namespace thornplank {
namespace {

// The limit of the store for one record.
constexpr size_t kRecordBytes = 262144;
constexpr size_t kLongestKey = 255;

std::string ToCbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

TEST_CASE("a record of departures is read as it was written") {
  const std::vector<std::vector<DepartingWorker>> records = {
      {},
      {{"w1", FromUnixMilliseconds(1764849600000)}},
      {{"w1", std::nullopt}, {"w2", FromUnixMilliseconds(0)}},
  };
  for (const auto& record : records) {
    CAPTURE(record.size());
    Error error;
    const auto read = DecodeDepartures(EncodeDepartures(record), &error);
    REQUIRE(read.has_value());
    CHECK(*read == record);
  }
}

// Guards against departures that are made up from a record of another form:
// crashes of those workers would not count.
TEST_CASE("a record of departures that cannot be read says nothing") {
  const std::vector<std::string> records = {
      "",
      "text",
      ToCbor(Json::array()),
      ToCbor(Json::array({2, Json::array()})),
      ToCbor(Json::array({"1", Json::array()})),
      ToCbor(Json::array({1})),
      ToCbor(Json::array({1, "w1"})),
      ToCbor(Json::array({1, Json::array({"w1"})})),
      ToCbor(Json::array({1, Json::array({Json::array({"w1"})})})),
      ToCbor(Json::array({1, Json::array({Json::array({"w1", "5"})})})),
      ToCbor(Json::array({1, Json::array({Json::array({7, 5})})})),
  };
  for (const std::string& record : records) {
    CAPTURE(record);
    Error error;
    CHECK_FALSE(DecodeDepartures(record, &error).has_value());
    CHECK(!error.step.empty());
  }
}

// Guards against a record that the store refuses for its size, so that no
// progress is written any more.
TEST_CASE("the longest record of departures fits into the store") {
  const DepartingWorker longest{std::string(kLongestKey, 'w'),
                                FromUnixMilliseconds(1764849600000)};
  const std::vector<DepartingWorker> record(kMaxDepartures, longest);
  CHECK(EncodeDepartures(record).size() < kRecordBytes);
}

}  // namespace
}  // namespace thornplank
