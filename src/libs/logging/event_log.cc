// Writes events as JSON lines through an asynchronous spdlog logger.
#include "logging/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <vector>

#include "base/time.h"

namespace thornplank {
namespace {

constexpr char kLoggerName[] = "thornplank";
// Lines waiting for the writer thread; the oldest goes when it is full.
constexpr size_t kQueuedLines = 8192;

std::string& InstanceName() {
  static std::string name;
  return name;
}

spdlog::level::level_enum ToLevel(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return spdlog::level::debug;
    case Severity::kInfo:
      return spdlog::level::info;
    case Severity::kWarning:
      return spdlog::level::warn;
    case Severity::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::string_view SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "info";
}

void WriteLine(spdlog::logger& logger, const Event& event, const Error* error,
               std::initializer_list<EventField> fields) {
  nlohmann::ordered_json line;
  line["time_ms"] = ToUnixMilliseconds(std::chrono::system_clock::now());
  line["level"] = std::string(SeverityName(event.severity));
  line["instance"] = InstanceName();
  line["event"] = event.number;
  line["name"] = std::string(event.name);
  for (const auto& [name, value] : fields) {
    line[std::string(name)] = value;
  }
  if (error != nullptr) {
    line["step"] = error->step;
    line["peer"] = error->peer;
    line["reason"] = error->reason;
  }
  // Bytes that are not UTF-8 come from callers; they must not throw here.
  logger.log(ToLevel(event.severity),
             line.dump(-1, ' ', false, Json::error_handler_t::replace));
}

}  // namespace

void OpenEventLog(std::string_view instance, Severity minimum,
                  const std::string& path) {
  CloseEventLog();
  InstanceName() = std::string(instance);
  spdlog::init_thread_pool(kQueuedLines, 1);
  spdlog::sink_ptr sink;
  if (path.empty()) {
    sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(path);
  }
  auto logger = std::make_shared<spdlog::async_logger>(
      kLoggerName, sink, spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern("%v");
  logger->set_level(ToLevel(minimum));
  logger->flush_on(spdlog::level::info);
  spdlog::register_logger(logger);
}

void CloseEventLog() {
  spdlog::drop(kLoggerName);
  spdlog::shutdown();
}

std::optional<Severity> ParseSeverity(std::string_view name) {
  for (Severity severity : {Severity::kDebug, Severity::kInfo,
                            Severity::kWarning, Severity::kError}) {
    if (SeverityName(severity) == name) return severity;
  }
  return std::nullopt;
}

void LogEvent(const Event& event, std::initializer_list<EventField> fields) {
  const std::shared_ptr<spdlog::logger> logger = spdlog::get(kLoggerName);
  if (logger == nullptr || !logger->should_log(ToLevel(event.severity))) return;
  WriteLine(*logger, event, nullptr, fields);
}

void LogEvent(const Event& event, const Error& error,
              std::initializer_list<EventField> fields) {
  const std::shared_ptr<spdlog::logger> logger = spdlog::get(kLoggerName);
  if (logger == nullptr || !logger->should_log(ToLevel(event.severity))) return;
  WriteLine(*logger, event, &error, fields);
}

}  // namespace thornplank
