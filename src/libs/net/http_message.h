// HTTP requests and responses as plain values, free of any library type.
#ifndef THORNPLANK_NET_HTTP_MESSAGE_H_
#define THORNPLANK_NET_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace thornplank {

// Header fields in order of arrival. Names compare without regard to case.
class HttpHeaders {
 public:
  // Replaces every field of that name.
  void Set(std::string_view name, std::string_view value);
  // Appends a field, beside others of that name.
  void Add(std::string_view name, std::string_view value);
  // The first field of that name, or "" when absent.
  std::string Value(std::string_view name) const;
  bool Has(std::string_view name) const;
  // How many fields have that name.
  size_t Count(std::string_view name) const;

  const std::vector<std::pair<std::string, std::string>>& fields() const {
    return fields_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

struct HttpRequest {
  std::string method = "GET";
  // Origin form, query included: "/v1/jobs?account=north".
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
  // "ip:port" of the sender; set by the server, ignored by the client.
  std::string remote_address;

  // The target without its query.
  std::string path() const;
  // The decoded value of a query parameter, or "".
  std::string query(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_HTTP_MESSAGE_H_
