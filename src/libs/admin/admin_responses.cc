// JSON bodies, ETags and problem details of the operators' interface.
#include "admin/admin_responses.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "api/api_router.h"
#include "settings/settings_path.h"

namespace thornplank {
namespace {

// Any number with this many digits fits into an int64_t.
constexpr size_t kMaxVersionDigits = 18;
// Limits on the reasons in a response, so that it does not echo a large value.
constexpr size_t kMaxReasons = 20;
constexpr size_t kMaxReasonBytes = 300;

std::string ETag(int64_t version) {
  return '"' + std::to_string(version) + '"';
}

// The version in an ETag, with or without quotes.
std::optional<int64_t> ParseETag(std::string text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  const bool digits = !text.empty() && text.size() <= kMaxVersionDigits &&
                      std::all_of(text.begin(), text.end(), [](char c) {
                        return std::isdigit(static_cast<unsigned char>(c)) != 0;
                      });
  if (!digits) return std::nullopt;
  return std::stoll(text);
}

// Adds a member to the problem details of `response`.
HttpResponse WithMember(HttpResponse response, const char* key, Json value) {
  Json body = ParseJson(response.body).value_or(Json::object());
  body[key] = std::move(value);
  response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

std::string JoinReasons(const std::vector<std::string>& reasons) {
  std::string text;
  for (const std::string& reason : reasons) {
    if (!text.empty()) text += "; ";
    text += reason;
  }
  return text;
}

std::vector<std::string> Truncated(std::vector<std::string> reasons) {
  const size_t count = reasons.size();
  reasons.resize(std::min(count, kMaxReasons));
  for (std::string& reason : reasons) {
    if (reason.size() <= kMaxReasonBytes) continue;
    reason.resize(kMaxReasonBytes);
    reason += "...";
  }
  if (count > kMaxReasons) {
    reasons.push_back("and " + std::to_string(count - kMaxReasons) + " more");
  }
  return reasons;
}

Json SourcesJson(const SettingsTree& tree, const std::string& path) {
  Json explained = Json::object();
  for (const auto& [key, item] : tree.Explain(path)) {
    Json& entry = explained[key];
    entry["value"] = item.value;
    entry["built_in"] = item.built_in;
    if (!item.built_in) entry["node"] = item.node;
  }
  return explained;
}

Json ChildrenJson(const SettingsTree& tree, const std::string& path) {
  Json children = Json::array();
  for (const std::string& node : tree.nodes()) {
    if (ParentPath(node) == path) children.push_back(node);
  }
  return children;
}

Json CurrentJson(const SettingsTree& tree, const std::string& path) {
  if (tree.own_value(path) == nullptr) {
    return {{"path", path}, {"version", tree.version(path)}, {"own", nullptr}};
  }
  return IsDocumentPath(path) ? DocumentJson(tree, path)
                              : NodeJson(tree, path, NodeView());
}

}  // namespace

Json NodeJson(const SettingsTree& tree, const std::string& path,
              const NodeView& view) {
  Json json = {{"path", path},
               {"version", tree.version(path)},
               {"effective", ToJson(tree.Effective(path))}};
  const std::optional<NodeKind> kind = tree.kind(path);
  if (kind) json["kind"] = NodeKindName(*kind);
  if (view.show_own) {
    const Json* own = tree.own_value(path);
    json["own"] = own == nullptr ? Json() : *own;
    json["children"] = ChildrenJson(tree, path);
  }
  if (view.show_sources) json["explain"] = SourcesJson(tree, path);
  return json;
}

Json DocumentJson(const SettingsTree& tree, const std::string& path) {
  const Json* value = tree.own_value(path);
  return {{"name", LastSegment(path)},
          {"version", tree.version(path)},
          {"value", value == nullptr ? Json() : *value}};
}

HttpResponse VersionedResponse(int status, const Json& body, int64_t version) {
  HttpResponse response = JsonResponse(
      status, body.dump(-1, ' ', false, Json::error_handler_t::replace));
  response.headers.Set("ETag", ETag(version));
  return response;
}

HttpResponse AbsentResponse(const SettingsTree& tree, const std::string& path) {
  HttpResponse response =
      ProblemResponse(404, "not in the settings", "nothing at " + path);
  response.headers.Set("ETag", ETag(tree.version(path)));
  return response;
}

HttpResponse UnavailableResponse(const WriteResult& result) {
  const bool unknown = result.outcome == WriteOutcome::kUnknown;
  HttpResponse response =
      ProblemResponse(503, unknown ? "outcome unknown" : "not run",
                      JoinReasons(result.reasons));
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(result.retry_after);
  response.headers.Set("Retry-After",
                       std::to_string(std::max<int64_t>(1, seconds.count())));
  response.headers.Set("Thornplank-Outcome", unknown ? "unknown" : "not-run");
  return response;
}

HttpResponse InvalidResponse(const std::vector<std::string>& reasons) {
  const std::vector<std::string> shown = Truncated(reasons);
  return WithMember(
      ProblemResponse(400, "settings refused", JoinReasons(shown)), "reasons",
      shown);
}

HttpResponse LostRaceResponse(const SettingsTree& tree,
                              const std::string& path) {
  HttpResponse response =
      WithMember(ProblemResponse(412, "changed by someone else",
                                 "the version at \"" + path + "\" is " +
                                     std::to_string(tree.version(path))),
                 "current", CurrentJson(tree, path));
  response.headers.Set("ETag", ETag(tree.version(path)));
  return response;
}

Precondition ReadPrecondition(const HttpRequest& request,
                              const SettingsTree& tree,
                              const std::string& path) {
  Precondition precondition;
  precondition.version = tree.version(path);
  const bool exists = tree.own_value(path) != nullptr;
  const std::string match = request.headers.Value("If-Match");
  if (match == "*" || request.headers.Value("If-None-Match") == "*") {
    if (exists == (match == "*")) return precondition;
    precondition.problem = LostRaceResponse(tree, path);
    return precondition;
  }
  if (match.empty()) {
    if (!exists) return precondition;
    precondition.problem = WithMember(
        ProblemResponse(428, "precondition required",
                        "send If-Match with the ETag of what you read"),
        "current", CurrentJson(tree, path));
    return precondition;
  }
  const std::optional<int64_t> version = ParseETag(match);
  if (version) {
    precondition.version = *version;
    return precondition;
  }
  precondition.problem = ProblemResponse(
      400, "malformed If-Match",
      "found " + match + ", allowed one ETag such as \"12\", or *");
  return precondition;
}

}  // namespace thornplank
