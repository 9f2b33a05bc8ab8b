// thornplankctl jobs ….
#include <chrono>
#include <iostream>
#include <thread>

#include "command.h"

namespace thornplank {
namespace {

constexpr Milliseconds kPollInterval{100};

bool IsFinal(const std::string& phase) {
  return phase == "finished" || phase == "cancelled" || phase == "failed";
}

int Submit(const CommandContext& context) {
  const std::string& first = context.arguments[0];
  const bool as_json = first.front() == '@' || first.front() == '{';
  const std::optional<Json> job =
      as_json ? ReadJsonArgument(first) : ParsePairs(context.arguments, 0);
  if (!job.has_value()) return kExitUsage;
  Json answer;
  const int code =
      CallApi(context, "POST", "/v1/jobs", job->dump(), HttpHeaders(), &answer);
  if (code != kExitOk) return code;
  if (context.json) {
    PrintJson(answer);
  } else {
    std::cout << Cell(answer, "id") << "\n";
  }
  return kExitOk;
}

int Status(const CommandContext& context) {
  Json job;
  const int code = CallApi(context, "GET", "/v1/jobs/" + context.arguments[0],
                           "", HttpHeaders(), &job);
  if (code != kExitOk) return code;
  if (context.json) {
    PrintJson(job);
    return kExitOk;
  }
  for (const auto& [key, value] : job.items()) {
    std::cout << key << "  " << ToCell(value) << "\n";
  }
  return kExitOk;
}

int List(const CommandContext& context) {
  std::string target = "/v1/jobs";
  if (!context.arguments.empty()) target += "?account=" + context.arguments[0];
  return PrintList(context, target, "jobs",
                   {{"ID", "id"},
                    {"ACCOUNT", "account"},
                    {"PHASE", "phase"},
                    {"MEMBERS", "members"},
                    {"ACCELERATORS", "accelerators"},
                    {"PRIORITY", "priority"},
                    {"REASON", "reason"}});
}

int Cancel(const CommandContext& context) {
  Json answer;
  const int code =
      CallApi(context, "DELETE", "/v1/jobs/" + context.arguments[0], "",
              HttpHeaders(), &answer);
  if (code == kExitOk) std::cout << "cancelled\n";
  return code;
}

int Wait(const CommandContext& context) {
  const auto end = std::chrono::steady_clock::now() + context.wait_limit;
  while (true) {
    Json job;
    const int code = CallApi(context, "GET", "/v1/jobs/" + context.arguments[0],
                             "", HttpHeaders(), &job);
    if (code != kExitOk) return code;
    const std::string phase = Cell(job, "phase");
    if (IsFinal(phase)) {
      if (context.json) {
        PrintJson(job);
      } else {
        std::cout << phase << "\n";
      }
      return phase == "finished" ? kExitOk : kExitRefused;
    }
    if (std::chrono::steady_clock::now() > end) {
      std::cerr << "thornplankctl: timed out; the job is still " << phase
                << "\n";
      return kExitTimedOut;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

std::vector<Command> JobCommands() {
  return {
      {"jobs", "submit", "KEY=VALUE...|JSON|@FILE",
       "Submits a job; prints its id once it is acknowledged.",
       "thornplankctl jobs submit account=north members=4 accelerators=8 "
       "adjacency=rack run_time_ms=60000",
       1, Submit},
      {"jobs", "status", "ID", "Shows one job.",
       "thornplankctl jobs status j-1", 1, Status},
      {"jobs", "list", "[ACCOUNT]", "Lists the jobs.",
       "thornplankctl jobs list north", 0, List},
      {"jobs", "cancel", "ID", "Cancels a job; it never starts afterwards.",
       "thornplankctl jobs cancel j-1", 1, Cancel},
      {"jobs", "wait", "ID",
       "Waits until a job has ended; exit code 0 if it finished.",
       "thornplankctl jobs wait j-1", 1, Wait},
  };
}

}  // namespace thornplank
