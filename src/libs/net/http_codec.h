// Incremental HTTP/1.1 parsers and header serializers.
//
// Boost.Beast is used only in http_codec.cc because it is slow to compile. Its
// parsers work without sockets and without timeouts of their own, so that
// connections can set exact ones.
#ifndef THORNPLANK_NET_HTTP_CODEC_H_
#define THORNPLANK_NET_HTTP_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace thornplank {

enum class ParseState {
  // All usable bytes have been consumed; more are needed.
  kMore,
  // The header is complete. Call Feed again with the bytes that were not
  // consumed.
  kHeader,
  kDone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

struct ParseLimits {
  size_t max_header_bytes = 0;
  size_t max_body_bytes = 0;
};

// Parses one request.
class RequestParser {
 public:
  explicit RequestParser(const ParseLimits& limits);
  ~RequestParser();

  // Parses the leading bytes of `data` and sets `*consumed`. The next call's
  // `data` must begin with the bytes that were not consumed.
  ParseState Feed(std::string_view data, size_t* consumed);

  // Valid once Feed has returned kHeader.
  std::optional<uint64_t> content_length() const;
  bool expects_continue() const;
  bool keep_alive() const;

  size_t body_bytes() const;
  // May be called once, after kDone.
  HttpRequest Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Parses one response; interim responses (1xx) are skipped. A response that is
// delimited only by the end of the connection is malformed, because it could
// not be distinguished from a truncated one.
class ResponseParser {
 public:
  // `is_head_response`: the response is to a HEAD request and has no body.
  ResponseParser(const ParseLimits& limits, bool is_head_response);
  ~ResponseParser();

  // Like RequestParser::Feed, but never returns kHeader.
  ParseState Feed(std::string_view data, size_t* consumed);

  // Valid after kDone.
  bool keep_alive() const;
  HttpResponse Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Whether the method and the target are valid in a request line.
bool IsValidRequestLine(const HttpRequest& request);

// Serializes the start line and the fields, with the final empty line. Host,
// Content-Length and Connection are set here. These and Transfer-Encoding are
// not copied from the message, nor are fields with malformed names and control
// characters in values.
std::string SerializeHeader(const HttpRequest& request,
                            const std::string& host);
std::string SerializeHeader(const HttpResponse& response, bool keep_alive);

}  // namespace thornplank

#endif  // THORNPLANK_NET_HTTP_CODEC_H_
