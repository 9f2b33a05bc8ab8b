// Commands of thornplankctl, and the calls, exit codes and output that all of
// them use.
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
  // The system refused the request, or what was requested failed.
  kExitRefused = 1,
  // Wrong command line; nothing was sent.
  kExitUsage = 2,
  // No entry answered; a change may or may not have been made.
  kExitNoAnswer = 3,
  // Another user changed the same thing first; nothing was changed.
  kExitConflict = 4,
  // A wait command timed out.
  kExitTimedOut = 5,
};

struct CommandContext {
  ApiClient& api;
  // Print JSON instead of tables.
  bool json = false;
  // Time limit of the wait commands.
  Milliseconds wait_limit{30000};
  // Positional arguments after the noun and the verb.
  std::vector<std::string> arguments;
};

struct Command {
  std::string noun;
  std::string verb;
  // Shown in usage texts, such as "PATH KEY=VALUE...".
  std::string arguments;
  std::string help;
  std::string example;
  size_t min_arguments = 0;
  std::function<int(const CommandContext&)> run;
};

// The commands of each noun.
std::vector<Command> SettingsCommands();
std::vector<Command> DocumentCommands();
std::vector<Command> JobCommands();
std::vector<Command> InstanceCommands();
std::vector<Command> RequestCommands();
std::vector<Command> LogCommands();

// Sends one request. If the status is 2xx, sets `*answer` to the JSON of the
// body and returns kExitOk. Otherwise prints the reason and returns the exit
// code of the process.
int CallApi(const CommandContext& context, const std::string& method,
            const std::string& target, const std::string& body,
            const HttpHeaders& headers, Json* answer,
            HttpHeaders* answer_headers = nullptr);

// A column of a printed list; `field` is the key of its value in each item.
struct Column {
  std::string heading;
  std::string field;
};

// Reads `target` and prints the array `list` of the answer as a table or, with
// --json, the whole answer. Returns the exit code of the process.
int PrintList(const CommandContext& context, const std::string& target,
              const std::string& list, const std::vector<Column>& columns);

// Prints `value` as indented JSON.
void PrintJson(const Json& value);
// Returns a string without quotes, null as "", anything else as compact JSON.
std::string ToCell(const Json& value);
// Returns ToCell() of the field; "" if it is absent.
std::string Cell(const Json& object, std::string_view field);
// Parses the "key=value" arguments from index `first` on into an object. A
// value that is not valid JSON is taken as a string. If an argument is not of
// that form, prints the reason and returns nullopt.
std::optional<Json> ParsePairs(const std::vector<std::string>& arguments,
                               size_t first);
// Parses inline JSON or, after '@', the file of that name. On failure prints
// the reason and returns nullopt.
std::optional<Json> ReadJsonArgument(const std::string& argument);

}  // namespace thornplank

#endif  // THORNPLANK_APP_THORNPLANKCTL_COMMAND_H_
