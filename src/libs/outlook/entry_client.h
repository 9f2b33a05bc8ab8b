// Asks other entries over HTTP.
#ifndef THORNPLANK_OUTLOOK_ENTRY_CLIENT_H_
#define THORNPLANK_OUTLOOK_ENTRY_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "net/http_client.h"
#include "outlook/entry_calls.h"

namespace thornplank {

class EntryClient : public EntryCalls {
 public:
  // `client` outlives this object.
  explicit EntryClient(HttpClient& client) : client_(client) {}

  void AskStoreAge(
      const std::string& address, Milliseconds timeout,
      std::function<void(std::optional<Milliseconds>)> done) override;

 private:
  HttpClient& client_;
};

}  // namespace thornplank

#endif  // THORNPLANK_OUTLOOK_ENTRY_CLIENT_H_
