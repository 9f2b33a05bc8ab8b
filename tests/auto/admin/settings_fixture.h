// Entries, each with a settings manager, that share one fake log.
#ifndef THORNPLANK_TESTS_AUTO_ADMIN_SETTINGS_FIXTURE_H_
#define THORNPLANK_TESTS_AUTO_ADMIN_SETTINGS_FIXTURE_H_

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "admin/settings_manager.h"
#include "fake_log.h"
#include "net/http_client.h"
#include "net/io_pool.h"
#include "platform/log_client.h"

namespace thornplank {

// Short timeouts, so that a fault is over within a fraction of a second.
inline SettingsManagerOptions FastOptions(const std::string& instance) {
  SettingsManagerOptions options;
  options.instance = instance;
  options.follower.wait = Milliseconds(50);
  options.follower.timeout = Milliseconds(500);
  options.follower.retry_delay = Milliseconds(10);
  options.follower.max_retry_delay = Milliseconds(20);
  options.writer.timeout = Milliseconds(150);
  options.writer.retry_delay = Milliseconds(10);
  options.writer.max_retry_delay = Milliseconds(20);
  options.writer.min_interval = Milliseconds(1);
  options.append_timeout = Milliseconds(500);
  options.verdict_timeout = Milliseconds(1000);
  options.defer_timeout = Milliseconds(300);
  options.log_unavailable_after = Milliseconds(400);
  options.peer_fetch_delay = Milliseconds(200);
  options.peer_fetch_interval = Milliseconds(50);
  options.first_offset_interval = Milliseconds(50);
  options.tick_interval = Milliseconds(10);
  return options;
}

// Waits until `condition` holds. Returns false after a time that is exceeded
// only on failure.
inline bool WaitUntil(const std::function<bool()>& condition) {
  const Time bound = std::chrono::steady_clock::now() + std::chrono::seconds(8);
  while (std::chrono::steady_clock::now() < bound) {
    if (condition()) return true;
    std::this_thread::sleep_for(Milliseconds(2));
  }
  return condition();
}

// An entry: its settings manager, with a handler that counts its calls.
class TestEntry {
 public:
  TestEntry(boost::asio::io_context& io, const std::string& log_address,
            const SettingsManagerOptions& options)
      : http_(io, HttpClientLimits()),
        log_(http_, log_address),
        manager_(io, log_, options) {
    manager_.AddChangeHandler(
        [calls = handler_calls_](const SettingsTree& tree) {
          ++calls->count;
          calls->revision = tree.revision();
        });
  }
  ~TestEntry() {
    manager_.Stop();
    http_.Close();
  }

  SettingsManager& manager() { return manager_; }
  int handler_calls() const { return handler_calls_->count; }
  // Revision of the last call of the handler; -1 before the first.
  int64_t handled_revision() const { return handler_calls_->revision; }

  void StartAndWait() {
    manager_.Start();
    WaitUntil([this] { return manager_.ready(); });
  }

  std::future<WriteResult> Write(SettingsChange change) {
    auto promise = std::make_shared<std::promise<WriteResult>>();
    manager_.Write(std::move(change), [promise](const WriteResult& result) {
      promise->set_value(result);
    });
    return promise->get_future();
  }
  std::future<WriteResult> Put(const std::string& path, int64_t expected,
                               const Json& value) {
    SettingsChange change;
    change.path = path;
    change.expected_version = expected;
    change.value = value;
    change.author = "admin";
    return Write(std::move(change));
  }
  double weight(const std::string& path) const {
    return manager_.tree()->Effective(path).weight;
  }

 private:
  // Shared with the handler, which may outlive the entry for a moment.
  struct HandlerCalls {
    std::atomic<int> count{0};
    std::atomic<int64_t> revision{-1};
  };

  const std::shared_ptr<HandlerCalls> handler_calls_ =
      std::make_shared<HandlerCalls>();
  HttpClient http_;
  LogClient log_;
  SettingsManager manager_;
};

class SettingsFixture {
 public:
  SettingsFixture() : pool_(2), log_(pool_.io()) { pool_.Start(); }
  // Nothing may run on the pool any more when the members are destroyed.
  ~SettingsFixture() {
    log_.Close();
    pool_.Stop();
  }

  std::unique_ptr<TestEntry> MakeEntry(const SettingsManagerOptions& options) {
    return std::make_unique<TestEntry>(pool_.io(), log_.address(), options);
  }
  std::unique_ptr<TestEntry> StartEntry(const std::string& instance) {
    auto entry = MakeEntry(FastOptions(instance));
    entry->StartAndWait();
    return entry;
  }
  FakeLog& log() { return log_; }
  boost::asio::io_context& io() { return pool_.io(); }

 private:
  IoPool pool_;
  FakeLog log_;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_AUTO_ADMIN_SETTINGS_FIXTURE_H_
