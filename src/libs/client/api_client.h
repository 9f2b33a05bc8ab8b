// A blocking client of the entries' HTTP interface, for command-line tools.
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
  // The account an operator acts for; empty for none.
  std::string account;
  Milliseconds timeout{10000};
};

class ApiClient {
 public:
  explicit ApiClient(ApiClientSettings settings);
  ~ApiClient();

  // Sends to the first entry that takes it. The next entry is tried only when
  // the request provably did not leave this process, or when `method` is GET.
  // nullopt when no entry gave an answer.
  std::optional<HttpResponse> Send(const std::string& method,
                                   const std::string& target,
                                   const std::string& body,
                                   const HttpHeaders& headers, Error* error);
  // Sends to that entry alone.
  std::optional<HttpResponse> SendTo(const std::string& entry,
                                     const std::string& method,
                                     const std::string& target,
                                     const std::string& body,
                                     const HttpHeaders& headers, Error* error);

  const std::vector<std::string>& entries() const { return settings_.entries; }

 private:
  class Impl;

  // Adds token, account and content type.
  HttpRequest MakeRequest(const std::string& method, const std::string& target,
                          const std::string& body,
                          const HttpHeaders& headers) const;

  ApiClientSettings settings_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_CLIENT_API_CLIENT_H_
