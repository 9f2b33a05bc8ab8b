// Blocking client of the entries' HTTP interface, for command-line tools.
#ifndef THORNPLANK_CLIENT_API_CLIENT_H_
#define THORNPLANK_CLIENT_API_CLIENT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "net/http_message.h"

namespace thornplank {

struct ApiClientSettings {
  // Entries as "ip:port", tried in this order.
  std::vector<std::string> entries;
  std::string token;
  // The client account on whose behalf an operator acts; empty for none.
  std::string account;
  Milliseconds timeout{10000};
};

class ApiClient {
 public:
  explicit ApiClient(ApiClientSettings settings);
  ~ApiClient();

  // Tries the entries in order until one responds. After a failure, the next
  // entry is tried only when the request was provably not sent or `method` is
  // GET. nullopt when no entry responded.
  std::optional<HttpResponse> Send(const std::string& method,
                                   const std::string& target,
                                   const std::string& body,
                                   const HttpHeaders& headers, Error* error);
  // Sends to `entry` only.
  std::optional<HttpResponse> SendTo(const std::string& entry,
                                     const std::string& method,
                                     const std::string& target,
                                     const std::string& body,
                                     const HttpHeaders& headers, Error* error);

  const std::vector<std::string>& entries() const { return settings_.entries; }

 private:
  class Impl;

  // Sets the token, account and content type headers unless `headers` has them.
  HttpRequest MakeRequest(const std::string& method, const std::string& target,
                          const std::string& body,
                          const HttpHeaders& headers) const;

  ApiClientSettings settings_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_CLIENT_API_CLIENT_H_
