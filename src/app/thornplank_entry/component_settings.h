// Converts the settings file of an entry to the settings of its components.
#ifndef THORNPLANK_APP_THORNPLANK_ENTRY_COMPONENT_SETTINGS_H_
#define THORNPLANK_APP_THORNPLANK_ENTRY_COMPONENT_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "admin/settings_manager.h"
#include "api/api_router.h"
#include "jobs/job_manager_settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peers/membership_manager.h"
#include "protocol/peer_mesh.h"
#include "requests/request_manager.h"
#include "settings/entry_settings.h"

namespace thornplank {

// Returns a random id for this start of the process.
std::string NewIncarnation();
std::vector<AccessToken> ToAccessTokens(
    const std::vector<EntryTokenSettings>& tokens);
HttpServerLimits ToHttpServerLimits(const EntryLimitSettings& limits);
PeerMeshSettings ToMeshSettings(const EntrySettings& settings,
                                const std::string& incarnation);
MembershipManagerSettings ToMembershipSettings(const EntrySettings& settings,
                                               const std::string& incarnation);
RequestManagerSettings ToRequestSettings(const EntrySettings& settings,
                                         const std::string& incarnation);
JobManagerSettings ToJobSettings(const EntrySettings& settings,
                                 const std::string& incarnation);
SettingsManagerOptions ToSettingsOptions(const EntrySettings& settings);
HttpClientLimits ToHttpClientLimits(size_t connections_per_peer);

}  // namespace thornplank

#endif  // THORNPLANK_APP_THORNPLANK_ENTRY_COMPONENT_SETTINGS_H_
