// HTTP requests and responses as plain values, independent of any library.
#ifndef THORNPLANK_NET_HTTP_MESSAGE_H_
#define THORNPLANK_NET_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace thornplank {

// Header fields in order of arrival. Names are case-insensitive.
class HttpHeaders {
 public:
  // Replaces all fields of that name.
  void Set(std::string_view name, std::string_view value);
  // Appends a field and keeps others of the same name.
  void Add(std::string_view name, std::string_view value);
  // Removes all fields of that name.
  void Remove(std::string_view name);
  // The value of the first field of that name, or "" when absent.
  std::string Value(std::string_view name) const;
  bool Has(std::string_view name) const;
  // The number of fields of that name.
  size_t Count(std::string_view name) const;

  const std::vector<std::pair<std::string, std::string>>& fields() const {
    return fields_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

struct HttpRequest {
  std::string method = "GET";
  // Origin form, including the query: "/v1/jobs?account=north".
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
  // "ip:port" of the sender; set by the server, ignored by the client.
  std::string remote_address;

  // The target without its query.
  std::string path() const;
  // The decoded value of a query parameter, or "" when absent.
  std::string query(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_HTTP_MESSAGE_H_
