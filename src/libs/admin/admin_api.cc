// Handlers of the operators' routes: reads use the tree in force, writes go
// through SettingsManager.
#include "admin/admin_api.h"

#include <utility>

#include "admin/admin_responses.h"

namespace thornplank {
namespace {

using Responder = HttpServer::Responder;

// Attempts of a write without a precondition while other changes come first.
constexpr int kMaxAttempts = 4;

// Replaces invalid UTF-8, which callers may have written, instead of throwing.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

ChangeKind PutKind(const std::string& path) {
  return IsDocumentPath(path) ? ChangeKind::kDocumentPut : ChangeKind::kPut;
}

ChangeKind RemoveKind(const std::string& path) {
  return IsDocumentPath(path) ? ChangeKind::kDocumentRemove
                              : ChangeKind::kRemove;
}

Json WrittenJson(const SettingsManager& settings, const SettingsChange& change,
                 int64_t version) {
  Json body = {{"path", change.path},
               {"version", version},
               {"offset", settings.next_offset()}};
  if (change.kind == ChangeKind::kPut) {
    body["own"] = change.value;
    body["effective"] = ToJson(settings.tree()->Effective(change.path));
  }
  if (change.kind == ChangeKind::kDocumentPut) body["value"] = change.value;
  return body;
}

HttpResponse WriteResponse(const SettingsManager& settings,
                           const SettingsChange& change,
                           const WriteResult& result) {
  switch (result.outcome) {
    case WriteOutcome::kApplied:
      return VersionedResponse(
          200, WrittenJson(settings, change, result.version), result.version);
    case WriteOutcome::kLostRace:
      return LostRaceResponse(*settings.tree(), change.path);
    case WriteOutcome::kInvalid:
      return InvalidResponse(result.reasons);
    case WriteOutcome::kNotRun:
    case WriteOutcome::kUnknown:
      break;
  }
  return UnavailableResponse(result);
}

// Returns whether the settings are ready, and responds with 503 if not.
bool CheckReady(const SettingsManager& settings, const Responder& respond) {
  if (settings.ready()) return true;
  WriteResult result;
  result.reasons = {"the settings of this entry are not complete yet"};
  respond(UnavailableResponse(result));
  return false;
}

void Write(SettingsManager& settings, SettingsChange change,
           Responder respond) {
  settings.Write(change,
                 [&settings, change, respond](const WriteResult& result) {
                   respond(WriteResponse(settings, change, result));
                 });
}

void Put(SettingsManager& settings, const HttpRequest& request,
         const Caller& caller, const std::string& path,
         const Responder& respond) {
  if (!CheckReady(settings, respond)) return;
  std::optional<Json> value = ParseJson(request.body);
  if (!value) {
    respond(InvalidResponse({"body: found malformed JSON, allowed an object"}));
    return;
  }
  Precondition precondition = ReadPrecondition(request, *settings.tree(), path);
  if (precondition.problem) {
    respond(std::move(*precondition.problem));
    return;
  }
  SettingsChange change;
  change.kind = PutKind(path);
  change.path = path;
  change.expected_version = precondition.version;
  change.value = std::move(*value);
  change.author = caller.token_name;
  Write(settings, std::move(change), respond);
}

void Remove(SettingsManager& settings, const HttpRequest& request,
            const Caller& caller, const std::string& path,
            const Responder& respond) {
  if (!CheckReady(settings, respond)) return;
  const std::shared_ptr<const SettingsTree> tree = settings.tree();
  if (tree->own_value(path) == nullptr) {
    respond(AbsentResponse(*tree, path));
    return;
  }
  Precondition precondition = ReadPrecondition(request, *tree, path);
  if (precondition.problem) {
    respond(std::move(*precondition.problem));
    return;
  }
  SettingsChange change;
  change.kind = RemoveKind(path);
  change.path = path;
  change.expected_version = precondition.version;
  change.author = caller.token_name;
  Write(settings, std::move(change), respond);
}

// Writes whatever the present version of the path is, and tries again if
// another change comes first.
void WriteUnconditionally(SettingsManager& settings, SettingsChange change,
                          Responder respond, int attempt) {
  change.expected_version = settings.tree()->version(change.path);
  settings.Write(
      change, [&settings, change, respond, attempt](const WriteResult& result) {
        const bool retry = result.outcome == WriteOutcome::kLostRace &&
                           attempt + 1 < kMaxAttempts;
        if (retry) {
          WriteUnconditionally(settings, change, respond, attempt + 1);
          return;
        }
        respond(WriteResponse(settings, change, result));
      });
}

bool MayReadNode(const Caller& caller, const std::string& path) {
  if (caller.role != Role::kCaller) return true;
  const std::string account = path.substr(0, path.find('/'));
  return !account.empty() && account == caller.account;
}

void GetNode(const SettingsManager& settings, const HttpRequest& request,
             const Caller& caller, const std::string& path,
             const Responder& respond) {
  if (!MayReadNode(caller, path)) {
    respond(ProblemResponse(403, "another client account",
                            "token '" + caller.token_name +
                                "' reads only the settings of its account"));
    return;
  }
  if (!CheckReady(settings, respond)) return;
  const std::shared_ptr<const SettingsTree> tree = settings.tree();
  if (tree->own_value(path) == nullptr || IsDocumentPath(path)) {
    respond(AbsentResponse(*tree, path));
    return;
  }
  NodeView view;
  view.show_own = caller.role != Role::kCaller;
  view.show_sources = view.show_own && request.query("explain") == "1";
  Json body = NodeJson(*tree, path, view);
  body["offset"] = settings.next_offset();
  respond(VersionedResponse(200, body, tree->version(path)));
}

void GetDocument(const SettingsManager& settings, const std::string& path,
                 const Responder& respond) {
  if (!CheckReady(settings, respond)) return;
  const std::shared_ptr<const SettingsTree> tree = settings.tree();
  if (tree->own_value(path) == nullptr) {
    respond(AbsentResponse(*tree, path));
    return;
  }
  respond(
      VersionedResponse(200, DocumentJson(*tree, path), tree->version(path)));
}

void ListDocuments(const SettingsManager& settings, const char* key,
                   std::string_view prefix, const Responder& respond) {
  if (!CheckReady(settings, respond)) return;
  const std::shared_ptr<const SettingsTree> tree = settings.tree();
  Json list = Json::array();
  for (const std::string& path : tree->documents(prefix)) {
    list.push_back(DocumentJson(*tree, path));
  }
  respond(JsonResponse(200, Dump({{key, std::move(list)}})));
}

void ListAccounts(const SettingsManager& settings, const Responder& respond) {
  if (!CheckReady(settings, respond)) return;
  const std::shared_ptr<const SettingsTree> tree = settings.tree();
  Json list = Json::array();
  for (const std::string& account : tree->accounts()) {
    Json node = NodeJson(*tree, account, NodeView());
    node["name"] = account;
    list.push_back(std::move(node));
  }
  respond(JsonResponse(200, Dump({{"accounts", std::move(list)}})));
}

void GetHistory(const SettingsManager& settings, const HttpRequest& request,
                const Responder& respond) {
  if (!CheckReady(settings, respond)) return;
  const std::string path = request.query("path");
  Json list = Json::array();
  for (const HistoryEntry& entry : settings.history(path)) {
    list.push_back(ToJson(entry));
  }
  respond(
      JsonResponse(200, Dump({{"path", path}, {"history", std::move(list)}})));
}

void StartDrain(SettingsManager& settings, const Caller& caller,
                const std::string& instance, const Responder& respond) {
  if (!CheckReady(settings, respond)) return;
  const std::string path = DrainPath(instance);
  if (settings.tree()->own_value(path) != nullptr) {
    GetDocument(settings, path, respond);
    return;
  }
  SettingsChange change;
  change.kind = ChangeKind::kDocumentPut;
  change.path = path;
  change.value = {{"instance", instance}};
  change.author = caller.token_name;
  WriteUnconditionally(settings, std::move(change), respond, /*attempt=*/0);
}

void EndDrain(SettingsManager& settings, const Caller& caller,
              const std::string& instance, const Responder& respond) {
  if (!CheckReady(settings, respond)) return;
  const std::string path = DrainPath(instance);
  const std::shared_ptr<const SettingsTree> tree = settings.tree();
  if (tree->own_value(path) == nullptr) {
    respond(AbsentResponse(*tree, path));
    return;
  }
  SettingsChange change;
  change.kind = ChangeKind::kDocumentRemove;
  change.path = path;
  change.author = caller.token_name;
  WriteUnconditionally(settings, std::move(change), respond, /*attempt=*/0);
}

void RecoverSettings(SettingsManager& settings, const HttpRequest& request,
                     const Caller& caller, const Responder& respond) {
  settings.Recover(caller.token_name, request.query("accept_empty") == "1",
                   [respond](const WriteResult& result) {
                     if (result.outcome == WriteOutcome::kApplied) {
                       respond(JsonResponse(202, Dump({{"appended", true}})));
                       return;
                     }
                     respond(result.outcome == WriteOutcome::kInvalid
                                 ? InvalidResponse(result.reasons)
                                 : UnavailableResponse(result));
                   });
}

// Adds GET for `min_reader_role` and above, and PUT and DELETE for operators.
// `path_of` gives the settings path for the parameters of the route.
template <typename PathOf, typename Get>
void AddResource(ApiRouter& router, SettingsManager& settings,
                 const std::string& pattern, Role min_reader_role,
                 PathOf path_of, Get get) {
  router.Add("GET", pattern, min_reader_role, get);
  router.Add("PUT", pattern, Role::kOperator,
             [&settings, path_of](
                 const HttpRequest& request, const Caller& caller,
                 const PathParameters& parameters, const Responder& respond) {
               Put(settings, request, caller, path_of(parameters), respond);
             });
  router.Add("DELETE", pattern, Role::kOperator,
             [&settings, path_of](
                 const HttpRequest& request, const Caller& caller,
                 const PathParameters& parameters, const Responder& respond) {
               Remove(settings, request, caller, path_of(parameters), respond);
             });
}

void AddNodeRoutes(ApiRouter& router, SettingsManager& settings) {
  const auto node = [](const PathParameters& parameters) {
    return parameters.at("path");
  };
  AddResource(router, settings, "/v1/settings/{path...}", Role::kCaller, node,
              [&settings, node](
                  const HttpRequest& request, const Caller& caller,
                  const PathParameters& parameters, const Responder& respond) {
                GetNode(settings, request, caller, node(parameters), respond);
              });
  const auto account = [](const PathParameters& parameters) {
    return parameters.at("name");
  };
  AddResource(
      router, settings, "/v1/accounts/{name}", Role::kViewer, account,
      [&settings, account](const HttpRequest& request, const Caller& caller,
                           const PathParameters& parameters,
                           const Responder& respond) {
        GetNode(settings, request, caller, account(parameters), respond);
      });
  router.Add("GET", "/v1/accounts", Role::kViewer,
             [&settings](const HttpRequest&, const Caller&,
                         const PathParameters&, const Responder& respond) {
               ListAccounts(settings, respond);
             });
  router.Add("GET", "/v1/settings-history", Role::kViewer,
             [&settings](const HttpRequest& request, const Caller&,
                         const PathParameters&, const Responder& respond) {
               GetHistory(settings, request, respond);
             });
  router.Add("POST", "/v1/settings-recovery", Role::kOperator,
             [&settings](const HttpRequest& request, const Caller& caller,
                         const PathParameters&, const Responder& respond) {
               RecoverSettings(settings, request, caller, respond);
             });
}

void AddDocumentRoutes(ApiRouter& router, SettingsManager& settings) {
  const auto event = [](const PathParameters& parameters) {
    return EventPath(parameters.at("name"));
  };
  AddResource(router, settings, "/v1/events/{name}", Role::kViewer, event,
              [&settings, event](const HttpRequest&, const Caller&,
                                 const PathParameters& parameters,
                                 const Responder& respond) {
                GetDocument(settings, event(parameters), respond);
              });
  router.Add("GET", "/v1/events", Role::kViewer,
             [&settings](const HttpRequest&, const Caller&,
                         const PathParameters&, const Responder& respond) {
               ListDocuments(settings, "events", kEventPrefix, respond);
             });
  router.Add("GET", "/v1/drains", Role::kViewer,
             [&settings](const HttpRequest&, const Caller&,
                         const PathParameters&, const Responder& respond) {
               ListDocuments(settings, "drains", kDrainPrefix, respond);
             });
  router.Add(
      "POST", "/v1/drains/{instance}", Role::kOperator,
      [&settings](const HttpRequest&, const Caller& caller,
                  const PathParameters& parameters, const Responder& respond) {
        StartDrain(settings, caller, parameters.at("instance"), respond);
      });
  router.Add(
      "DELETE", "/v1/drains/{instance}", Role::kOperator,
      [&settings](const HttpRequest&, const Caller& caller,
                  const PathParameters& parameters, const Responder& respond) {
        EndDrain(settings, caller, parameters.at("instance"), respond);
      });
}

}  // namespace

AdminApi::AdminApi(SettingsManager& settings) : settings_(settings) {}

void AdminApi::AddRoutes(ApiRouter& router) {
  AddNodeRoutes(router, settings_);
  AddDocumentRoutes(router, settings_);
}

}  // namespace thornplank
