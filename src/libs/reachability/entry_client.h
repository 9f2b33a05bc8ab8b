// HTTP client for calls to other entries.
#ifndef THORNPLANK_REACHABILITY_ENTRY_CLIENT_H_
#define THORNPLANK_REACHABILITY_ENTRY_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "net/http_client.h"
#include "reachability/entry_client_interface.h"

namespace thornplank {

class EntryClient : public EntryClientInterface {
 public:
  // `client` must outlive this object.
  explicit EntryClient(HttpClient& client) : client_(client) {}

  void FetchStoreAge(
      const std::string& address, Milliseconds timeout,
      std::function<void(std::optional<Milliseconds>)> done) override;

 private:
  HttpClient& client_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REACHABILITY_ENTRY_CLIENT_H_
