// Writes events as JSON lines through an asynchronous spdlog logger.
#include "logging/event_log.h"

#include <fcntl.h>
#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <memory>
#include <mutex>
#include <vector>

#include "base/time.h"
#include "logging/bounded_output.h"
#include "logging/events/process_events.h"
#include "logging/line_budget.h"

namespace thornplank {
namespace {

constexpr char kLoggerName[] = "thornplank";
// Lines waiting for the writer thread; the oldest goes when it is full.
constexpr size_t kQueuedLines = 8192;
constexpr size_t kUsualLineBytes = 384;
// A reader that is scheduled late comes back within it; a stuck one costs the
// writing thread no more than this, once.
constexpr Milliseconds kReaderPatience{200};

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

// Bytes that are not UTF-8 come from callers; they must not throw here.
std::string ToText(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Names of fields are literals that need no escapes.
void AppendField(std::string_view name, const Json& value, std::string* text) {
  *text += ",\"";
  *text += name;
  *text += "\":";
  *text += ToText(value);
}

// Hands lines on to a descriptor; the mutex of the base serialises them.
class OutputSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit OutputSink(BoundedOutput& output) : output_(output) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    output_.Write(std::string_view(line.data(), line.size()));
  }
  void flush_() override {}

 private:
  BoundedOutput& output_;
};

// A log that is open. Lock order: `mutex_` before the queue of spdlog.
class OpenLog {
 public:
  OpenLog(std::string_view instance, Severity minimum, LogWriter writer,
          int descriptor)
      : instance_(instance),
        output_(descriptor, writer == LogWriter::kBackgroundThread
                                ? kReaderPatience
                                : Milliseconds::zero()) {
    const auto sink = std::make_shared<OutputSink>(output_);
    if (writer == LogWriter::kBackgroundThread) {
      spdlog::init_thread_pool(kQueuedLines, 1);
      logger_ = std::make_shared<spdlog::async_logger>(
          kLoggerName, sink, spdlog::thread_pool(),
          spdlog::async_overflow_policy::overrun_oldest);
    } else {
      logger_ = std::make_shared<spdlog::logger>(kLoggerName, sink);
    }
    logger_->set_pattern("%v");
    set_severity(minimum);
  }

  ~OpenLog() {
    for (const LinesLeftOut& left_out : budget_.TakeAllLeftOut()) {
      TellLeftOut(left_out);
    }
    logger_.reset();
    // Joins the writer thread, which has a bounded time for what is queued.
    spdlog::shutdown();
  }

  void set_severity(Severity minimum) { logger_->set_level(ToLevel(minimum)); }

  void Write(const Event& event, const Error* error,
             std::initializer_list<EventField> fields) {
    if (!logger_->should_log(ToLevel(event.severity))) return;
    const Time now = std::chrono::steady_clock::now();
    bool admitted = false;
    std::vector<LinesLeftOut> left_out;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      left_out = budget_.TakeLeftOut(now);
      admitted = budget_.Admits(event.number, now);
    }
    for (const LinesLeftOut& entry : left_out) {
      TellLeftOut(entry);
    }
    if (!admitted) return;
    const size_t bytes = WriteLine(event, error, fields);
    const std::lock_guard<std::mutex> lock(mutex_);
    budget_.Charge(event.number, bytes);
  }

  LogTotals totals() const {
    LogTotals totals;
    totals.lines = output_.written_lines();
    totals.bytes = output_.written_bytes();
    totals.dropped = output_.dropped_lines();
    if (const auto pool = spdlog::thread_pool()) {
      totals.dropped += pool->overrun_counter();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    totals.over_budget = budget_.left_out_total();
    return totals;
  }

 private:
  void TellLeftOut(const LinesLeftOut& left_out) {
    WriteLine(events::kLogLinesLeftOut, nullptr,
              {{"of_event", left_out.event}, {"lines", left_out.lines}});
  }

  size_t WriteLine(const Event& event, const Error* error,
                   std::initializer_list<EventField> fields) {
    std::string text;
    text.reserve(kUsualLineBytes);
    text += "{\"time_ms\":";
    text +=
        std::to_string(ToUnixMilliseconds(std::chrono::system_clock::now()));
    text += ",\"level\":\"";
    text += SeverityName(event.severity);
    text += "\",\"instance\":";
    text += ToText(instance_);
    text += ",\"event\":";
    text += std::to_string(event.number);
    text += ",\"name\":\"";
    text += event.name;
    text += '"';
    for (const auto& [name, value] : fields) {
      AppendField(name, value, &text);
    }
    if (error != nullptr) {
      AppendField("step", error->step, &text);
      AppendField("peer", error->peer, &text);
      AppendField("reason", error->reason, &text);
    }
    text += '}';
    logger_->log(ToLevel(event.severity), text);
    return text.size();
  }

  const std::string instance_;
  BoundedOutput output_;
  std::shared_ptr<spdlog::logger> logger_;
  // Guards budget_.
  mutable std::mutex mutex_;
  LineBudget budget_{LineBudgetSettings()};
};

// Opened and closed by the main thread while no other runs; others use it.
std::unique_ptr<OpenLog>& CurrentLog() {
  static std::unique_ptr<OpenLog> log;
  return log;
}

}  // namespace

bool OpenEventLog(std::string_view instance, Severity minimum, LogWriter writer,
                  const std::string& path, Error* error) {
  CloseEventLog();
  std::signal(SIGPIPE, SIG_IGN);
  int descriptor = STDOUT_FILENO;
  if (!path.empty()) {
    // Never closed: a process has one such file, and lines may be on their way.
    descriptor =
        ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (descriptor < 0) {
      SetError(error, "open log", path, std::strerror(errno));
      return false;
    }
  }
  CurrentLog() =
      std::make_unique<OpenLog>(instance, minimum, writer, descriptor);
  return true;
}

void CloseEventLog() { CurrentLog().reset(); }

void SetLogSeverity(Severity minimum) {
  if (CurrentLog() != nullptr) CurrentLog()->set_severity(minimum);
}

LogTotals log_totals() {
  return CurrentLog() == nullptr ? LogTotals() : CurrentLog()->totals();
}

std::optional<Severity> ParseSeverity(std::string_view name) {
  for (Severity severity : {Severity::kDebug, Severity::kInfo,
                            Severity::kWarning, Severity::kError}) {
    if (SeverityName(severity) == name) return severity;
  }
  return std::nullopt;
}

void LogEvent(const Event& event, std::initializer_list<EventField> fields) {
  if (CurrentLog() != nullptr) CurrentLog()->Write(event, nullptr, fields);
}

void LogEvent(const Event& event, const Error& error,
              std::initializer_list<EventField> fields) {
  if (CurrentLog() != nullptr) CurrentLog()->Write(event, &error, fields);
}

}  // namespace thornplank
