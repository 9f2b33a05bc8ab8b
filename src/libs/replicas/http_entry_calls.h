// Calls to other entries over HTTP.
#ifndef THORNPLANK_REPLICAS_HTTP_ENTRY_CALLS_H_
#define THORNPLANK_REPLICAS_HTTP_ENTRY_CALLS_H_

#include <string>

#include "net/http_client.h"
#include "replicas/entry_calls.h"

namespace thornplank {

class HttpEntryCalls : public EntryCalls {
 public:
  // `client` must outlive this object.
  explicit HttpEntryCalls(HttpClient& client) : client_(client) {}

  void Introduce(
      const std::string& address, const EntryIntroduction& introduction,
      Milliseconds timeout,
      std::function<void(std::optional<IntroductionAnswer>)> done) override;
  void TellRoster(const std::string& address, const ReplicaRoster& roster,
                  Milliseconds timeout,
                  std::function<void(bool)> done) override;
  void Forward(const std::string& address, const ForwardedCall& call,
               Milliseconds timeout,
               std::function<void(ForwardResult)> done) override;

 private:
  HttpClient& client_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_HTTP_ENTRY_CALLS_H_
