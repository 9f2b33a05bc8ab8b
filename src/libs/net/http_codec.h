// HTTP/1.1 on the wire: incremental parsers and header serializers.
//
// The only part that knows Boost.Beast, in one source file: Beast is costly to
// compile, and its parsers work without sockets or timeouts of their own, so
// that the connections can set exact ones.
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
  // Every byte usable so far has been taken; feed more.
  kMore,
  // The header is whole. Feed again, with what was not consumed.
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

  // Takes the leading bytes of `data` and sets `*consumed`. What was not
  // consumed must stand at the beginning of `data` next time.
  ParseState Feed(std::string_view data, size_t* consumed);

  // From kHeader on.
  std::optional<uint64_t> content_length() const;
  bool expects_continue() const;
  bool keep_alive() const;

  size_t body_bytes() const;
  // Once, after kDone.
  HttpRequest Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Parses one response; interim ones (1xx) are skipped. A response whose end
// shows only by the end of the connection is malformed: nobody could tell it
// from a truncated one.
class ResponseParser {
 public:
  // `to_head`: the answer to a HEAD, which has no body.
  ResponseParser(const ParseLimits& limits, bool to_head);
  ~ResponseParser();

  // As RequestParser::Feed, but kHeader is not reported.
  ParseState Feed(std::string_view data, size_t* consumed);

  // After kDone.
  bool keep_alive() const;
  HttpResponse Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// True when method and target can stand in a request line.
bool IsValidRequestLine(const HttpRequest& request);

// Start line and fields, with the final empty line. Host, Content-Length and
// Connection are set here; such fields of the message, fields with malformed
// names and control characters in values are left out.
std::string SerializeHeader(const HttpRequest& request,
                            const std::string& host);
std::string SerializeHeader(const HttpResponse& response, bool keep_alive);

}  // namespace thornplank

#endif  // THORNPLANK_NET_HTTP_CODEC_H_
