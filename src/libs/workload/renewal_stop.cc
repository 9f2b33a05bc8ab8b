// [version, epoch, [[worker, milliseconds left], ...]] as CBOR.
#include "workload/renewal_stop.h"

#include <utility>

#include "base/json.h"

namespace thornplank {
namespace {

constexpr int kVersion = 1;

}  // namespace

std::string EncodeRenewalStops(const RenewalStopRecord& record) {
  Json rows = Json::array();
  for (const RenewalStop& stop : record.stops) {
    rows.push_back(Json::array({stop.worker, stop.lease_left.count()}));
  }
  std::string bytes;
  Json::to_cbor(Json::array({kVersion, record.epoch, std::move(rows)}), bytes);
  return bytes;
}

std::optional<RenewalStopRecord> DecodeRenewalStops(std::string_view bytes,
                                                    Error* error) {
  const Json fields = ParseCbor(bytes).value_or(Json());
  RenewalStopRecord record;
  // The JSON library throws on wrong types; no exception leaves this function.
  try {
    if (fields.at(0).get<int>() != kVersion) {
      SetError(error, "decode renewal stops", "store", "unknown version");
      return std::nullopt;
    }
    record.epoch = fields.at(1).get<int64_t>();
    for (const Json& row : fields.at(2)) {
      const auto left = row.at(1).get<int64_t>();
      if (left < 0) {
        SetError(error, "decode renewal stops", "store", "negative time");
        return std::nullopt;
      }
      record.stops.push_back(
          {row.at(0).get<std::string>(), Milliseconds(left)});
    }
  } catch (const Json::exception& fault) {
    SetError(error, "decode renewal stops", "store", fault.what());
    return std::nullopt;
  }
  return record;
}

}  // namespace thornplank
