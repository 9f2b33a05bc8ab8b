// Routes of the operators' interface: settings, history, accounts, events and
// drains. See docs/PROTOCOLS.md, section 2.
#ifndef THORNPLANK_ADMIN_ADMIN_API_H_
#define THORNPLANK_ADMIN_ADMIN_API_H_

#include <string>

#include "admin/settings_manager.h"
#include "api/api_router.h"

namespace thornplank {

class AdminApi {
 public:
  // `settings` must outlive the router's handlers.
  explicit AdminApi(SettingsManager& settings);

  void AddRoutes(ApiRouter& router);

 private:
  SettingsManager& settings_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ADMIN_ADMIN_API_H_
