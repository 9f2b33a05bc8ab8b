// When an unconfirmed append counts as not appended.
#include <doctest/doctest.h>

#include <atomic>
#include <string>

#include "net/http_client.h"
#include "net/io_pool.h"
#include "platform/log_client.h"
#include "request_fixture.h"
#include "requests/claim_stream.h"

namespace thornplank::test {
namespace {

struct UnconfirmedCase {
  const char* name;
  // Whether the log service accepts connections.
  bool listens;
  bool not_appended;
};

TEST_CASE("only a record that was never sent counts as not appended") {
  const std::vector<UnconfirmedCase> cases = {
      {"stored, reply lost", true, false},
      {"connection refused", false, true},
  };
  for (const UnconfirmedCase& c : cases) {
    CAPTURE(c.name);
    IoPool pool(2);
    pool.Start();
    FakeLog log(pool.io());
    log.set_mode(LogMode::kLosesRepliesUnreadable);
    HttpClient http(pool.io(), {});
    LogClient client(http, c.listens ? log.address() : "127.0.0.1:1");
    RequestManagerSettings settings;
    settings.claim_writer.retry_delay = Milliseconds(10);
    ClaimStream stream(pool.io(), client, settings);
    std::atomic<bool> not_appended{false};
    ClaimRecord record;
    record.claim_id = "claim-1";
    const Time deadline = std::chrono::steady_clock::now() + Milliseconds(300);
    stream.AppendClaim(record, deadline, [&] { not_appended = true; });
    REQUIRE(WaitUntil([&] { return stream.pending_records() == 0; }));
    // The callback runs shortly after the record is no longer pending.
    if (c.not_appended) {
      CHECK(WaitUntil([&] { return not_appended.load(); }));
    }
    CHECK((log.CountRecords("claim") == 1) == c.listens);
    http.Close();
    log.Close();
    pool.Stop();
    CHECK(not_appended == c.not_appended);
  }
}

}  // namespace
}  // namespace thornplank::test
