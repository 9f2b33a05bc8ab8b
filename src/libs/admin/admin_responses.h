// Bodies and headers of the operators' interface.
#ifndef THORNPLANK_ADMIN_ADMIN_RESPONSES_H_
#define THORNPLANK_ADMIN_ADMIN_RESPONSES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "admin/settings_manager.h"
#include "base/json.h"
#include "net/http_message.h"
#include "settings/settings_tree.h"

namespace thornplank {

// What a node shows. Own values and children stay hidden from a client
// account, which sees only what is in force for it.
struct NodeView {
  bool own = true;
  bool explain = false;
};

// {"path","version","kind","own","effective","children"[,"explain"]}.
Json NodeJson(const SettingsTree& tree, const std::string& path,
              const NodeView& view);
// {"name","version","value"} of an event or drain.
Json DocumentJson(const SettingsTree& tree, const std::string& path);

// A JSON answer with the version as ETag.
HttpResponse VersionedResponse(int status, const Json& body, int64_t version);
// 404 with the version of the removal as ETag.
HttpResponse AbsentResponse(const SettingsTree& tree, const std::string& path);
// 503 with Retry-After and Thornplank-Outcome.
HttpResponse UnavailableResponse(const WriteResult& result);
// 400 with one line for each reason.
HttpResponse InvalidResponse(const std::vector<std::string>& reasons);
// 412 with what stands now under "current".
HttpResponse LostRaceResponse(const SettingsTree& tree,
                              const std::string& path);

// What a write expects of a path, from If-Match and If-None-Match; `problem`
// is set instead when the headers do not say, or say nonsense.
struct Precondition {
  int64_t version = 0;
  std::optional<HttpResponse> problem;
};
Precondition ReadPrecondition(const HttpRequest& request,
                              const SettingsTree& tree,
                              const std::string& path);

}  // namespace thornplank

#endif  // THORNPLANK_ADMIN_ADMIN_RESPONSES_H_
