// Responses of the operators' interface, and the preconditions of its requests.
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

// Which parts of a node a response shows. A client account sees only the values
// in force for it, neither a node's own values nor its children.
struct NodeView {
  // The node's own values and its children.
  bool show_own = true;
  // Where each value in force comes from.
  bool show_sources = false;
};

// {"path","version","kind","own","effective","children"[,"explain"]}.
Json NodeJson(const SettingsTree& tree, const std::string& path,
              const NodeView& view);
// {"name","version","value"} of an event or drain.
Json DocumentJson(const SettingsTree& tree, const std::string& path);

// A JSON response with the version as ETag.
HttpResponse VersionedResponse(int status, const Json& body, int64_t version);
// 404 with the version of the removal as ETag.
HttpResponse AbsentResponse(const SettingsTree& tree, const std::string& path);
// 503 with Retry-After and Thornplank-Outcome.
HttpResponse UnavailableResponse(const WriteResult& result);
// 400 with one line for each reason.
HttpResponse InvalidResponse(const std::vector<std::string>& reasons);
// 412 with the present version and value under "current".
HttpResponse LostRaceResponse(const SettingsTree& tree,
                              const std::string& path);

// The version that a write expects of a path, from If-Match and If-None-Match.
// `problem` is set instead if the headers are required and missing, malformed,
// or already not fulfilled.
struct Precondition {
  int64_t version = 0;
  std::optional<HttpResponse> problem;
};
Precondition ReadPrecondition(const HttpRequest& request,
                              const SettingsTree& tree,
                              const std::string& path);

}  // namespace thornplank

#endif  // THORNPLANK_ADMIN_ADMIN_RESPONSES_H_
