// [version, [[worker, start in Unix milliseconds or null], ...]] as CBOR.
#include "workload/departure_record.h"

#include <utility>

#include "base/json.h"

namespace thornplank {
namespace {

constexpr int kVersion = 1;

std::optional<WallTime> ReadStart(const Json& field) {
  if (field.is_null()) return std::nullopt;
  return FromUnixMilliseconds(field.get<int64_t>());
}

}  // namespace

std::string EncodeDepartures(const std::vector<DepartingWorker>& departures) {
  Json rows = Json::array();
  for (const DepartingWorker& entry : departures) {
    Json start;
    if (entry.incarnation_start) {
      start = ToUnixMilliseconds(*entry.incarnation_start);
    }
    rows.push_back(Json::array({entry.worker, std::move(start)}));
  }
  std::string bytes;
  Json::to_cbor(Json::array({kVersion, std::move(rows)}), bytes);
  return bytes;
}

std::optional<std::vector<DepartingWorker>> DecodeDepartures(
    std::string_view bytes, Error* error) {
  const Json fields = ParseCbor(bytes).value_or(Json());
  std::vector<DepartingWorker> departures;
  // The JSON library throws on wrong types; no exception leaves this function.
  try {
    if (fields.at(0).get<int>() != kVersion) {
      SetError(error, "decode departures", "store", "unknown version");
      return std::nullopt;
    }
    for (const Json& row : fields.at(1)) {
      departures.push_back(
          {row.at(0).get<std::string>(), ReadStart(row.at(1))});
    }
  } catch (const Json::exception& fault) {
    SetError(error, "decode departures", "store", fault.what());
    return std::nullopt;
  }
  return departures;
}

}  // namespace thornplank
