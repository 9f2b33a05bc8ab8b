// Wraps the parsers and serializers of Boost.Beast.
#include "net/http_codec.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

namespace thornplank {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::string ToString(beast::string_view text) {
  return std::string(text.data(), text.size());
}

beast::string_view ToBeast(std::string_view text) {
  return beast::string_view(text.data(), text.size());
}

ParseState ToParseState(const beast::error_code& code) {
  if (code == http::error::header_limit) return ParseState::kHeaderTooLarge;
  if (code == http::error::buffer_overflow) return ParseState::kHeaderTooLarge;
  if (code == http::error::body_limit) return ParseState::kBodyTooLarge;
  return ParseState::kMalformed;
}

// Common part of the request and response parsers.
template <bool isRequest>
class MessageParser {
 public:
  explicit MessageParser(const ParseLimits& limits) : limits_(limits) {
    parser_.header_limit(static_cast<uint32_t>(limits.max_header_bytes));
    parser_.body_limit(limits.max_body_bytes);
  }

  ParseState Feed(std::string_view data, size_t* consumed) {
    *consumed = 0;
    if (parser_.is_done()) return ParseState::kDone;
    if (data.empty()) return ParseState::kMore;
    const bool had_header = parser_.is_header_done();
    beast::error_code code;
    *consumed =
        parser_.put(boost::asio::const_buffer(data.data(), data.size()), code);
    if (code && code != http::error::need_more) return ToParseState(code);
    if (!had_header && parser_.is_header_done()) {
      parser_.eager(true);
      return ParseState::kHeader;
    }
    if (parser_.is_done()) return ParseState::kDone;
    // Headers, chunk headers and trailers are only parsed when complete.
    // Without this limit, a sender could fill the memory with an endless one.
    if (data.size() - *consumed > limits_.max_header_bytes) {
      return ParseState::kHeaderTooLarge;
    }
    return ParseState::kMore;
  }

  http::parser<isRequest, http::string_body>& parser() { return parser_; }
  const http::parser<isRequest, http::string_body>& parser() const {
    return parser_;
  }

  void TakeFields(HttpHeaders* headers) const {
    for (const auto& field : parser_.get().base()) {
      headers->Add(ToString(field.name_string()), ToString(field.value()));
    }
  }

 private:
  const ParseLimits limits_;
  http::parser<isRequest, http::string_body> parser_;
};

bool IsToken(std::string_view text) {
  constexpr std::string_view kSpecialCharacters = "!#$%&'*+-.^_`|~";
  if (text.empty()) return false;
  return std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') ||
           kSpecialCharacters.find(c) != std::string_view::npos;
  });
}

bool IsReservedField(http::field field) {
  return field == http::field::host || field == http::field::content_length ||
         field == http::field::transfer_encoding ||
         field == http::field::connection;
}

std::string RemoveControlCharacters(std::string value) {
  value.erase(std::remove_if(value.begin(), value.end(),
                             [](char c) {
                               return static_cast<unsigned char>(c) < ' ' &&
                                      c != '\t';
                             }),
              value.end());
  return value;
}

template <class Message>
void CopyFields(const HttpHeaders& headers, Message* message) {
  for (const auto& [name, value] : headers.fields()) {
    if (!IsToken(name)) continue;
    if (IsReservedField(http::string_to_field(ToBeast(name)))) continue;
    message->insert(ToBeast(name), RemoveControlCharacters(value));
  }
}

template <bool isRequest>
std::string ToText(const http::message<isRequest, http::empty_body>& message) {
  http::serializer<isRequest, http::empty_body> serializer(message);
  std::string text;
  beast::error_code code;
  while (!serializer.is_done() && !code) {
    serializer.next(code, [&](beast::error_code&, const auto& buffers) {
      for (const auto& buffer : beast::buffers_range_ref(buffers)) {
        text.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      serializer.consume(beast::buffer_bytes(buffers));
    });
  }
  return text;
}

}  // namespace

class RequestParser::Impl : public MessageParser<true> {
  using MessageParser::MessageParser;
};

RequestParser::RequestParser(const ParseLimits& limits)
    : impl_(std::make_unique<Impl>(limits)) {}
RequestParser::~RequestParser() = default;

ParseState RequestParser::Feed(std::string_view data, size_t* consumed) {
  const ParseState state = impl_->Feed(data, consumed);
  if (state != ParseState::kHeader) return state;
  const beast::string_view target = impl_->parser().get().target();
  if (target.empty() || target.front() != '/') return ParseState::kMalformed;
  return state;
}

std::optional<uint64_t> RequestParser::content_length() const {
  const auto length = impl_->parser().content_length();
  if (!length) return std::nullopt;
  return *length;
}

bool RequestParser::expects_continue() const {
  return beast::iequals(impl_->parser().get()[http::field::expect],
                        "100-continue");
}

bool RequestParser::keep_alive() const { return impl_->parser().keep_alive(); }

size_t RequestParser::body_bytes() const {
  return impl_->parser().get().body().size();
}

HttpRequest RequestParser::Take() {
  auto& message = impl_->parser().get();
  HttpRequest request;
  request.method = ToString(message.method_string());
  request.target = ToString(message.target());
  impl_->TakeFields(&request.headers);
  request.body = std::move(message.body());
  return request;
}

class ResponseParser::Impl {
 public:
  Impl(const ParseLimits& limits, bool is_head_response)
      : limits_(limits), is_head_response_(is_head_response) {
    Reset();
  }

  ParseState Feed(std::string_view data, size_t* consumed) {
    *consumed = 0;
    while (true) {
      size_t taken = 0;
      const ParseState state = message_->Feed(data.substr(*consumed), &taken);
      *consumed += taken;
      const auto& parser = message_->parser();
      if (state == ParseState::kHeader) {
        if (parser.need_eof()) return ParseState::kMalformed;
        continue;
      }
      if (state != ParseState::kDone) return state;
      if (parser.get().result_int() >= kFirstFinalStatus) return state;
      Reset();
    }
  }

  const MessageParser<false>& message() const { return *message_; }
  MessageParser<false>& message() { return *message_; }

 private:
  void Reset() {
    message_ = std::make_unique<MessageParser<false>>(limits_);
    message_->parser().skip(is_head_response_);
  }

  const ParseLimits limits_;
  const bool is_head_response_;
  std::unique_ptr<MessageParser<false>> message_;
};

ResponseParser::ResponseParser(const ParseLimits& limits, bool is_head_response)
    : impl_(std::make_unique<Impl>(limits, is_head_response)) {}
ResponseParser::~ResponseParser() = default;

ParseState ResponseParser::Feed(std::string_view data, size_t* consumed) {
  return impl_->Feed(data, consumed);
}

bool ResponseParser::keep_alive() const {
  return impl_->message().parser().keep_alive();
}

HttpResponse ResponseParser::Take() {
  auto& message = impl_->message().parser().get();
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  impl_->message().TakeFields(&response.headers);
  response.body = std::move(message.body());
  return response;
}

bool IsValidRequestLine(const HttpRequest& request) {
  if (!IsToken(request.method)) return false;
  if (request.target.empty() || request.target.front() != '/') return false;
  return std::none_of(request.target.begin(), request.target.end(), [](char c) {
    return static_cast<unsigned char>(c) <= ' ' || c == '\x7f';
  });
}

std::string SerializeHeader(const HttpRequest& request,
                            const std::string& host) {
  http::request<http::empty_body> message;
  message.version(kHttp11);
  message.method_string(ToBeast(request.method));
  message.target(ToBeast(request.target));
  message.set(http::field::host, host);
  CopyFields(request.headers, &message);
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    message.content_length(request.body.size());
  }
  return ToText(message);
}

std::string SerializeHeader(const HttpResponse& response, bool keep_alive) {
  http::response<http::empty_body> message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(response.status));
  CopyFields(response.headers, &message);
  if (response.status != kNoContent && response.status != kNotModified) {
    message.content_length(response.body.size());
  }
  if (!keep_alive) message.set(http::field::connection, "close");
  return ToText(message);
}

}  // namespace thornplank
