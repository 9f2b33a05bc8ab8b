// thornplankctl: the command line tool of the operators.
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "command.h"

DEFINE_string(entries, "", "entries as ip:port, separated by commas");
DEFINE_string(token, "", "bearer token");
DEFINE_string(account, "", "the client account an operator acts for");
DEFINE_bool(json, false, "JSON instead of tables");
DEFINE_int32(timeout_ms, 10000, "time limit of one call, in milliseconds");
DEFINE_int32(wait_ms, 30000,
             "time limit of the wait commands, in milliseconds");

namespace thornplank {
namespace {

constexpr char kDefaultEntries[] = "127.0.0.1:8001";

std::string FlagOrEnvironment(const std::string& flag, const char* variable,
                              const std::string& fallback) {
  if (!flag.empty()) return flag;
  const char* value = std::getenv(variable);
  return value != nullptr ? value : fallback;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    if (!item.empty()) items.push_back(item);
  }
  return items;
}

std::vector<Command> AllCommands() {
  std::vector<Command> all;
  for (const std::vector<Command>& group :
       {SettingsCommands(), DocumentCommands(), JobCommands(),
        InstanceCommands(), RequestCommands(), LogCommands()}) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

void PrintHelp(const std::vector<Command>& commands) {
  std::cout << "usage: thornplankctl [flags] NOUN VERB [arguments]\n\ncommands:"
            << "\n";
  for (const Command& command : commands) {
    std::cout << "  " << command.noun << " " << command.verb << " "
              << command.arguments << "\n      " << command.help
              << "\n      example: " << command.example << "\n";
  }
  std::cout
      << "\nflags:\n"
         "  --entries=IP:PORT,...  default $THORNPLANK_ENTRIES, else "
      << kDefaultEntries
      << "\n"
         "  --token=TOKEN          default $THORNPLANK_TOKEN\n"
         "  --account=NAME         the client account an operator acts for\n"
         "  --json                 JSON instead of tables\n"
         "  --timeout_ms=N         time limit of one call (10000)\n"
         "  --wait_ms=N            time limit of the wait commands (30000)\n"
         "\nexit codes:\n"
         "  0  done\n"
         "  1  refused by the system, or the job did not finish\n"
         "  2  invalid command line, nothing was sent\n"
         "  3  no answer; a change may or may not have been made\n"
         "  4  another user changed the same thing first\n"
         "  5  a wait command timed out\n";
}

int UsageError(const std::string& message) {
  std::cerr << "thornplankctl: " << message << "; see thornplankctl --help\n";
  return kExitUsage;
}

int Run(const std::vector<std::string>& words) {
  const std::vector<Command> commands = AllCommands();
  if (words.empty() || words[0] == "help") {
    PrintHelp(commands);
    return words.empty() ? kExitUsage : kExitOk;
  }
  if (words.size() < 2) return UsageError("a noun and a verb are required");
  for (const Command& command : commands) {
    if (command.noun != words[0] || command.verb != words[1]) continue;
    const std::vector<std::string> arguments(words.begin() + 2, words.end());
    if (arguments.size() < command.min_arguments) {
      return UsageError("'" + command.noun + " " + command.verb +
                        "' requires " + command.arguments);
    }
    ApiClientSettings settings;
    settings.entries = SplitList(FlagOrEnvironment(
        FLAGS_entries, "THORNPLANK_ENTRIES", kDefaultEntries));
    settings.token = FlagOrEnvironment(FLAGS_token, "THORNPLANK_TOKEN", "");
    settings.account = FLAGS_account;
    settings.timeout = Milliseconds(FLAGS_timeout_ms);
    ApiClient api(settings);
    const CommandContext context{api, FLAGS_json, Milliseconds(FLAGS_wait_ms),
                                 arguments};
    return command.run(context);
  }
  return UsageError("unknown command '" + words[0] + " " + words[1] + "'");
}

}  // namespace
}  // namespace thornplank

int main(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    const std::string word = argv[i];
    if (word != "--help" && word != "-help" && word != "-h") continue;
    return thornplank::Run({"help"});
  }
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return thornplank::Run(std::vector<std::string>(argv + 1, argv + argc));
}
