// Formats and fills Error values.
#include "base/error.h"

#include <utility>

namespace thornplank {

std::string Error::ToString() const {
  if (peer.empty()) return step + ": " + reason;
  return step + " at " + peer + ": " + reason;
}

void SetError(Error* error, std::string step, std::string peer,
              std::string reason) {
  if (error == nullptr) return;
  error->step = std::move(step);
  error->peer = std::move(peer);
  error->reason = std::move(reason);
}

}  // namespace thornplank
