// thornplankctl instances …, drain …, and status ….
#include <iostream>

#include "client/table_printer.h"
#include "command.h"

namespace thornplank {
namespace {

int List(const CommandContext& context) {
  return PrintList(context, "/v1/instances", "instances",
                   {{"NAME", "name"},
                    {"KIND", "kind"},
                    {"STATE", "state"},
                    {"ADDRESS", "address"},
                    {"FAILURE DOMAIN", "failure_domain"},
                    {"RACK", "rack"},
                    {"ACCELERATORS", "accelerators"},
                    {"SLOTS", "slots"}});
}

int ChangeDrain(const CommandContext& context, const std::string& method,
                const std::string& confirmation) {
  const int code =
      CallApi(context, method, "/v1/drains/" + context.arguments[0], "",
              HttpHeaders(), nullptr);
  if (code == kExitOk) std::cout << confirmation << "\n";
  return code;
}

int Status(const CommandContext& context) {
  TablePrinter table({"ENTRY", "NAME", "READY", "SETTINGS", "JOBS", "CLAIMS",
                      "EPOCH", "COORDINATOR"});
  Json statuses = Json::array();
  bool all_answered = true;
  for (const std::string& entry : context.api.entries()) {
    Error error;
    const std::optional<HttpResponse> response = context.api.SendTo(
        entry, "GET", "/v1/status", "", HttpHeaders(), &error);
    if (!response.has_value() || response->status != 200) {
      all_answered = false;
      table.AddRow({entry, "no answer: " + error.reason});
      continue;
    }
    const Json status = ParseJson(response->body).value_or(Json::object());
    statuses.push_back(status);
    const Json none = Json::object();
    const Json* offsets = ObjectField(status, "offsets");
    if (offsets == nullptr) offsets = &none;
    table.AddRow({entry, Cell(status, "name"), Cell(status, "ready"),
                  Cell(*offsets, "settings"), Cell(*offsets, "jobs"),
                  Cell(*offsets, "claims"), Cell(status, "epoch"),
                  Cell(status, "coordinator")});
  }
  if (context.json) {
    PrintJson(statuses);
  } else {
    std::cout << table.ToText();
  }
  return all_answered ? kExitOk : kExitNoAnswer;
}

}  // namespace

std::vector<Command> InstanceCommands() {
  return {
      {"instances", "list", "", "Lists the workers, executors and entries.",
       "thornplankctl instances list", 0, List},
      {"instances", "drain", "NAME",
       "Gives the instance no new work; its gangs are moved as a whole.",
       "thornplankctl instances drain w-17", 1,
       [](const CommandContext& context) {
         return ChangeDrain(context, "POST", "draining");
       }},
      {"instances", "undrain", "NAME", "Ends the drain of the instance.",
       "thornplankctl instances undrain w-17", 1,
       [](const CommandContext& context) {
         return ChangeDrain(context, "DELETE", "no longer draining");
       }},
      {"status", "show", "",
       "Shows the applied offsets, the readiness and the coordinator of every "
       "entry of --entries.",
       "thornplankctl --entries=127.0.0.1:8001,127.0.0.1:8002 status show", 0,
       Status},
  };
}

}  // namespace thornplank
