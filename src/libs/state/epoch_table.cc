// Applies epoch claims and resignations.
#include "state/epoch_table.h"

namespace thornplank {

bool EpochTable::Claim(const EpochRecord& record) {
  if (record.number != current_.number + 1) return false;
  if (record.holder.empty()) return false;
  current_ = {record.number, record.holder, record.incarnation, false};
  return true;
}

bool EpochTable::Resign(const ResignRecord& record) {
  if (!IsInForce(record.epoch)) return false;
  if (!IsHeldBy(record.holder, record.incarnation)) return false;
  current_.resigned = true;
  return true;
}

bool EpochTable::IsInForce(int64_t epoch) const {
  return epoch == current_.number && epoch > 0 && !current_.resigned;
}

bool EpochTable::IsHeldBy(const std::string& holder,
                          const std::string& incarnation) const {
  return current_.number > 0 && !current_.resigned &&
         current_.holder == holder && current_.incarnation == incarnation;
}

}  // namespace thornplank
