// Requests of entry_messages.h, sent with the time-out of the call.
#include "replicas/http_entry_calls.h"

#include <utility>

#include "replicas/entry_messages.h"

namespace thornplank {
namespace {

HttpSendOptions WithTimeout(Milliseconds timeout) {
  HttpSendOptions options;
  options.timeout = timeout;
  return options;
}

}  // namespace

void HttpEntryCalls::Introduce(
    const std::string& address, const EntryIntroduction& introduction,
    Milliseconds timeout,
    std::function<void(std::optional<IntroductionAnswer>)> done) {
  client_.Send(address, ToRequest(introduction), WithTimeout(timeout),
               [done = std::move(done)](std::optional<HttpResponse> response,
                                        const HttpFailure&) {
                 if (!response) return done(std::nullopt);
                 done(ReadIntroductionAnswer(*response));
               });
}

void HttpEntryCalls::TellRoster(const std::string& address,
                                const ReplicaRoster& roster,
                                Milliseconds timeout,
                                std::function<void(bool)> done) {
  client_.Send(address, ToRequest(roster), WithTimeout(timeout),
               [done = std::move(done)](std::optional<HttpResponse> response,
                                        const HttpFailure&) {
                 done(response && response->status == 200);
               });
}

void HttpEntryCalls::Forward(const std::string& address,
                             const ForwardedCall& call, Milliseconds timeout,
                             std::function<void(ForwardResult)> done) {
  client_.Send(
      address, ToRequest(call), WithTimeout(timeout),
      [done = std::move(done), peer = address](
          std::optional<HttpResponse> response, const HttpFailure& failure) {
        ForwardResult result;
        if (response) {
          result.may_have_arrived = true;
          result.error = {"forward", peer,
                          "status " + std::to_string(response->status)};
          result.answer = ReadCallAnswer(std::move(*response));
        } else {
          result.may_have_arrived = failure.progress != SendProgress::kNotSent;
          result.error = failure.error;
        }
        done(std::move(result));
      });
}

}  // namespace thornplank
