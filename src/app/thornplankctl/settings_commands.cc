// thornplankctl settings …: reads and changes the settings tree.
#include <chrono>
#include <iostream>
#include <thread>

#include "client/table_printer.h"
#include "command.h"

namespace thornplank {
namespace {

constexpr Milliseconds kPollInterval{100};

std::string TargetOf(const std::string& path) {
  return "/v1/settings/" + (path == "/" ? std::string() : path);
}

// Returns the node that defines the effective value of `key`.
std::string OriginNode(const Json& explain, const std::string& key) {
  const Json* origin = ObjectField(explain, key);
  if (origin == nullptr) return "";
  if (BoolField(*origin, "built_in").value_or(false)) return "(built in)";
  const std::string node = Cell(*origin, "node");
  return node.empty() ? "/" : node;
}

void PrintNode(const Json& node) {
  std::cout << "path     " << Cell(node, "path") << "\nversion  "
            << Cell(node, "version") << "\n";
  const Json* own = ObjectField(node, "own");
  const Json* effective = ObjectField(node, "effective");
  const Json* explain = ObjectField(node, "explain");
  if (effective == nullptr) return;
  std::vector<std::string> header = {"KEY", "VALUE", "OWN"};
  if (explain != nullptr) header.push_back("FROM");
  TablePrinter table(header);
  for (const auto& [key, value] : effective->items()) {
    const bool is_own = own != nullptr && own->contains(key);
    std::vector<std::string> row = {key, ToCell(value), is_own ? "yes" : ""};
    if (explain != nullptr) {
      row.push_back(OriginNode(*explain, key));
    }
    table.AddRow(row);
  }
  std::cout << table.ToText();
}

int Get(const CommandContext& context, const std::string& query) {
  Json node;
  const int code =
      CallApi(context, "GET", TargetOf(context.arguments[0]) + query, "",
              HttpHeaders(), &node);
  if (code != kExitOk) return code;
  if (context.json) {
    PrintJson(node);
  } else {
    PrintNode(node);
  }
  return kExitOk;
}

// Reads the node, lets `edit` change its own values, and writes it back,
// provided that it does not change in between. Nothing is written if `edit`
// returns false.
int Edit(const CommandContext& context,
         const std::function<bool(Json* own)>& edit) {
  const std::string target = TargetOf(context.arguments[0]);
  Json node;
  HttpHeaders read_headers;
  Error error;
  const std::optional<HttpResponse> current =
      context.api.Send("GET", target, "", HttpHeaders(), &error);
  if (!current.has_value()) {
    std::cerr << "thornplankctl: no answer: " << error.ToString() << "\n";
    return kExitNoAnswer;
  }
  Json own = Json::object();
  std::string version = "\"0\"";
  if (current->status == 200) {
    node = ParseJson(current->body).value_or(Json::object());
    if (const Json* field = ObjectField(node, "own")) own = *field;
    version = current->headers.Value("ETag");
  }
  if (!edit(&own)) return kExitUsage;
  HttpHeaders headers;
  headers.Set("If-Match", version);
  Json answer;
  const int code =
      CallApi(context, "PUT", target, own.dump(), headers, &answer);
  if (code != kExitOk) return code;
  if (context.json) {
    PrintJson(answer);
  } else {
    std::cout << "accepted: version " << Cell(answer, "version")
              << ", settings offset " << Cell(answer, "offset") << "\n";
  }
  return kExitOk;
}

int Set(const CommandContext& context) {
  const std::optional<Json> pairs = ParsePairs(context.arguments, 1);
  if (!pairs.has_value()) return kExitUsage;
  return Edit(context, [&pairs](Json* own) {
    own->update(*pairs);
    return true;
  });
}

int Unset(const CommandContext& context) {
  return Edit(context, [&context](Json* own) {
    for (size_t i = 1; i < context.arguments.size(); ++i) {
      own->erase(context.arguments[i]);
    }
    return true;
  });
}

int Remove(const CommandContext& context) {
  const std::string target = TargetOf(context.arguments[0]);
  HttpHeaders current;
  int code =
      CallApi(context, "GET", target, "", HttpHeaders(), nullptr, &current);
  if (code != kExitOk) return code;
  HttpHeaders headers;
  headers.Set("If-Match", current.Value("ETag"));
  code = CallApi(context, "DELETE", target, "", headers, nullptr);
  if (code == kExitOk) std::cout << "removed\n";
  return code;
}

int History(const CommandContext& context) {
  std::string target = "/v1/settings-history";
  if (!context.arguments.empty()) target += "?path=" + context.arguments[0];
  return PrintList(context, target, "changes",
                   {{"OFFSET", "offset"},
                    {"TIME_MS", "time_ms"},
                    {"BY", "by"},
                    {"PATH", "path"},
                    {"VERSION", "version"},
                    {"VALUE", "value"}});
}

// Returns the offset up to which `entry` has applied the settings stream;
// nullopt if it does not answer.
std::optional<int64_t> AppliedOffset(const CommandContext& context,
                                     const std::string& entry) {
  const std::optional<HttpResponse> response = context.api.SendTo(
      entry, "GET", "/v1/status", "", HttpHeaders(), nullptr);
  if (!response.has_value() || response->status != 200) return std::nullopt;
  const Json status = ParseJson(response->body).value_or(Json());
  const Json* offsets = ObjectField(status, "offsets");
  if (offsets == nullptr) return std::nullopt;
  return IntField(*offsets, "settings");
}

int Wait(const CommandContext& context) {
  int64_t target_offset = 0;
  for (const std::string& entry : context.api.entries()) {
    target_offset =
        std::max(target_offset, AppliedOffset(context, entry).value_or(0));
  }
  if (!context.arguments.empty()) {
    target_offset = std::atoll(context.arguments[0].c_str()) + 1;
  }
  const auto end = std::chrono::steady_clock::now() + context.wait_limit;
  while (true) {
    TablePrinter table({"ENTRY", "OFFSET", "IN FORCE"});
    bool everywhere = true;
    for (const std::string& entry : context.api.entries()) {
      const std::optional<int64_t> applied = AppliedOffset(context, entry);
      const bool in_force = applied.value_or(-1) >= target_offset;
      everywhere = everywhere && in_force;
      table.AddRow({entry, applied ? std::to_string(*applied) : "no answer",
                    in_force ? "yes" : "no"});
    }
    if (everywhere || std::chrono::steady_clock::now() > end) {
      std::cout << table.ToText();
      return everywhere ? kExitOk : kExitTimedOut;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

std::vector<Command> SettingsCommands() {
  return {
      {"settings", "get", "PATH",
       "Shows the own and the effective values of a node.",
       "thornplankctl settings get north/claims", 1,
       [](const CommandContext& context) { return Get(context, ""); }},
      {"settings", "explain", "PATH", "Shows which node defines each value.",
       "thornplankctl settings explain north/claims", 1,
       [](const CommandContext& context) {
         return Get(context, "?explain=1");
       }},
      {"settings", "set", "PATH KEY=VALUE...",
       "Changes own values of a node; all others are kept.",
       "thornplankctl settings set north kind=account weight=2", 2, Set},
      {"settings", "unset", "PATH KEY...",
       "Removes own values, so that those of the parent apply again.",
       "thornplankctl settings unset north weight", 2, Unset},
      {"settings", "remove", "PATH", "Removes a node without children.",
       "thornplankctl settings remove north/claims", 1, Remove},
      {"settings", "history", "[PATH]",
       "Lists past changes with their authors and times.",
       "thornplankctl settings history north", 0, History},
      {"settings", "wait", "[OFFSET]",
       "Waits until every entry of --entries has applied the change at the "
       "offset (by default the newest that one of them knows).",
       "thornplankctl --entries=127.0.0.1:8001,127.0.0.1:8002 settings wait", 0,
       Wait},
  };
}

}  // namespace thornplank
