// Tests of the HTTP form of the calls between entries.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "replicas/entry_messages.h"

namespace thornplank::testing {
namespace {

ReplicaRoster MakeRoster() {
  ReplicaRoster roster;
  roster.epoch = 7;
  roster.number = 3;
  roster.entries = 588;
  roster.replicas = {{"a", "127.0.0.1:1", "x"}, {"b", "127.0.0.1:2", "y"}};
  return roster;
}

TEST_CASE("a roster and an introduction are read as they were written") {
  const auto roster = ReadRosterRequest(ToRequest(MakeRoster()));
  REQUIRE(roster);
  CHECK(roster->epoch == 7);
  CHECK(roster->number == 3);
  CHECK(roster->entries == 588);
  CHECK(roster->replicas == MakeRoster().replicas);

  EntryIntroduction introduction;
  introduction.entry = {"c", "127.0.0.1:3", "z"};
  introduction.rank = 0.25;
  introduction.roster_epoch = 7;
  introduction.roster_number = 2;
  const auto read = ReadIntroduction(ToRequest(introduction));
  REQUIRE(read);
  CHECK(read->entry == introduction.entry);
  CHECK(read->rank == 0.25);
  CHECK(read->roster_epoch == 7);
  CHECK(read->roster_number == 2);

  IntroductionAnswer answer;
  answer.roster = MakeRoster();
  const auto read_answer = ReadIntroductionAnswer(ToResponse(answer));
  REQUIRE(read_answer);
  REQUIRE(read_answer->roster);
  CHECK(read_answer->roster->number == 3);
}

TEST_CASE("a forwarded call reaches the replica as the caller sent it") {
  ForwardedCall call;
  call.request.method = "POST";
  call.request.target = "/queue/0123456789abcdef?x=1";
  call.request.headers.Add("Host", "queue.example");
  call.request.headers.Add("X-Api-Key", "secret");
  call.request.headers.Add("Connection", "close");
  // A caller must not be able to set what only gateways state.
  call.request.headers.Add("thornplank-min-configuration", "99");
  call.request.headers.Add("Thornplank-Host", "other.example");
  call.request.body = "{}";
  call.time_left = Milliseconds(1234);
  call.min_configuration = 15;
  HttpRequest sent = ToRequest(call);
  // The transport sets the host of the replica.
  CHECK(sent.headers.Value("Host").empty());
  sent.headers.Set("Host", "10.0.0.1:7000");
  const auto read = ReadForwardedCall(sent);
  REQUIRE(read);
  CHECK(read->request.method == "POST");
  CHECK(read->request.target == "/queue/0123456789abcdef?x=1");
  CHECK(read->request.headers.Value("Host") == "queue.example");
  CHECK(read->request.headers.Value("X-Api-Key") == "secret");
  CHECK(!read->request.headers.Has("Connection"));
  CHECK(read->request.body == "{}");
  CHECK(read->time_left == Milliseconds(1234));
  CHECK(read->min_configuration == 15);
}

TEST_CASE("an answer returns without what only entries exchange") {
  CallAnswer answer;
  answer.response.status = 503;
  answer.response.headers.Set("Retry-After", "0");
  answer.response.body = "later";
  answer.configuration = 16;
  answer.try_next = true;
  const auto read = ReadCallAnswer(ToResponse(answer));
  REQUIRE(read);
  CHECK(read->configuration == 16);
  CHECK(read->try_next);
  CHECK(read->response.status == 503);
  CHECK(read->response.headers.Value("Retry-After") == "0");
  CHECK(read->response.headers.fields().size() == 1);
}

// Guards against the 404 of a process that is no replica, taken for the answer
// that there is no such queue.
TEST_CASE("an answer that no replica gave is none") {
  for (const int status : {200, 404, 503}) {
    CAPTURE(status);
    HttpResponse response;
    response.status = status;
    CHECK(!ReadCallAnswer(response));
  }
}

TEST_CASE("malformed messages are refused") {
  const std::vector<std::string> bodies = {
      "",
      "[]",
      "{}",
      "{\"name\":5}",
      "{\"epoch\":1,\"number\":1}",
      "{\"epoch\":1,\"number\":1,\"replicas\":[{}]}"};
  for (const std::string& body : bodies) {
    CAPTURE(body);
    HttpRequest request;
    request.body = body;
    CHECK(!ReadRosterRequest(request));
    CHECK(!ReadIntroduction(request));
  }
  HttpRequest request;
  request.target = std::string(kForwardPath) + "/queue/";
  CHECK(!ReadForwardedCall(request));
}

}  // namespace
}  // namespace thornplank::testing
