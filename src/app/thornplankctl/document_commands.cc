// thornplankctl accounts … and events ….
#include <iostream>

#include "command.h"

namespace thornplank {
namespace {

int Show(const CommandContext& context, const std::string& noun) {
  Json answer;
  const int code =
      CallApi(context, "GET", "/v1/" + noun + "/" + context.arguments[0], "",
              HttpHeaders(), &answer);
  if (code == kExitOk) PrintJson(answer);
  return code;
}

// Writes the whole document, provided that it does not change between the read
// and the write of this function.
int Put(const CommandContext& context, const std::string& noun,
        const Json& value) {
  const std::string target = "/v1/" + noun + "/" + context.arguments[0];
  const std::optional<HttpResponse> current =
      context.api.Send("GET", target, "", HttpHeaders(), nullptr);
  HttpHeaders headers;
  const bool exists = current.has_value() && current->status == 200;
  headers.Set("If-Match", exists ? current->headers.Value("ETag") : "\"0\"");
  Json answer;
  const int code =
      CallApi(context, "PUT", target, value.dump(), headers, &answer);
  if (code != kExitOk) return code;
  if (context.json) {
    PrintJson(answer);
  } else {
    std::cout << "accepted: version " << Cell(answer, "version") << "\n";
  }
  return kExitOk;
}

int PutJson(const CommandContext& context, const std::string& noun) {
  const std::optional<Json> value = ReadJsonArgument(context.arguments[1]);
  if (!value.has_value()) return kExitUsage;
  return Put(context, noun, *value);
}

}  // namespace

std::vector<Command> DocumentCommands() {
  return {
      {"accounts", "list", "", "Lists the client accounts.",
       "thornplankctl accounts list", 0,
       [](const CommandContext& context) {
         return PrintList(context, "/v1/accounts", "accounts",
                          {{"NAME", "name"},
                           {"VERSION", "version"},
                           {"WEIGHT", "weight"},
                           {"GUARANTEED SLOTS", "guaranteed_slots"},
                           {"GUARANTEED SHAPES", "guaranteed_shapes"}});
       }},
      {"accounts", "show", "NAME", "Shows one client account.",
       "thornplankctl accounts show north", 1,
       [](const CommandContext& context) { return Show(context, "accounts"); }},
      {"accounts", "set", "NAME JSON|@FILE",
       "Replaces all own values of a client account.",
       "thornplankctl accounts set north "
       "'{\"weight\":2,\"guaranteed_slots\":8,\"guaranteed_shapes\":[{"
       "\"members\":4,\"accelerators\":8,\"adjacency\":\"rack\",\"count\":1}]}"
       "'",
       2,
       [](const CommandContext& context) {
         return PutJson(context, "accounts");
       }},
      {"events", "list", "", "Lists the events with their start times.",
       "thornplankctl events list", 0,
       [](const CommandContext& context) {
         return PrintList(context, "/v1/events", "events",
                          {{"NAME", "name"},
                           {"VERSION", "version"},
                           {"ACCOUNT", "account"},
                           {"STARTS AT MS", "starts_at_ms"},
                           {"SHAPES", "shapes"}});
       }},
      {"events", "show", "NAME", "Shows one event.",
       "thornplankctl events show morning", 1,
       [](const CommandContext& context) { return Show(context, "events"); }},
      {"events", "set", "NAME JSON|@FILE", "Creates or replaces an event.",
       "thornplankctl events set morning @morning.json", 2,
       [](const CommandContext& context) {
         return PutJson(context, "events");
       }},
  };
}

}  // namespace thornplank
