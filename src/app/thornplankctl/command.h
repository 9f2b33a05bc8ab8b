// What a command of thornplankctl is, and what all of them share.
#ifndef THORNPLANK_APP_THORNPLANKCTL_COMMAND_H_
#define THORNPLANK_APP_THORNPLANKCTL_COMMAND_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "client/api_client.h"

namespace thornplank {

// Exit codes, documented in --help and docs/operators/thornplankctl.md.
enum ExitCode {
  kExitOk = 0,
  // The system refused, or the thing asked for failed.
  kExitRefused = 1,
  // Wrong command line; nothing was sent.
  kExitUsage = 2,
  // No entry gave an answer; a change may or may not have been made.
  kExitNoAnswer = 3,
  // Somebody else changed the same thing first; nothing was changed.
  kExitLostRace = 4,
  // A wait ran out of time.
  kExitTimedOut = 5,
};

struct CommandContext {
  ApiClient& api;
  // JSON instead of tables.
  bool json = false;
  Milliseconds wait_limit{30000};
  std::vector<std::string> arguments;
};

struct Command {
  std::string noun;
  std::string verb;
  std::string arguments;
  std::string help;
  std::string example;
  size_t least_arguments = 0;
  std::function<int(const CommandContext&)> run;
};

// The commands of each noun.
std::vector<Command> SettingsCommands();
std::vector<Command> DocumentCommands();
std::vector<Command> JobCommands();
std::vector<Command> InstanceCommands();
std::vector<Command> RequestCommands();
std::vector<Command> LogCommands();

// One call to the system. When it gives an answer of the 2xx class, `*body`
// holds its JSON and kExitOk comes back; else the reason has been printed and
// the exit code to end with comes back.
int CallApi(const CommandContext& context, const std::string& method,
            const std::string& target, const std::string& body,
            const HttpHeaders& headers, Json* answer,
            HttpHeaders* answer_headers = nullptr);

// A column of a printed list: its heading, and the field of each item.
struct Column {
  std::string heading;
  std::string field;
};

// Reads `target` and prints the array `list` of the answer, as a table or, with
// --json, the whole answer. The exit code comes back.
int PrintList(const CommandContext& context, const std::string& target,
              const std::string& list, const std::vector<Column>& columns);

// Prints `value` as indented JSON.
void PrintJson(const Json& value);
// A scalar as it stands, anything else as compact JSON.
std::string ToCell(const Json& value);
// The field as a cell, "" when absent.
std::string Cell(const Json& object, std::string_view field);
// "key=value" pairs into an object; values are JSON, or strings when they
// are not. nullopt when a pair has no '='.
std::optional<Json> ParsePairs(const std::vector<std::string>& arguments,
                               size_t first);
// Inline JSON, or the content of the file behind '@'.
std::optional<Json> ReadJsonArgument(const std::string& argument);

}  // namespace thornplank

#endif  // THORNPLANK_APP_THORNPLANKCTL_COMMAND_H_
