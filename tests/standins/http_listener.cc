// Implements the listener and its connections with Boost.Beast.
#include "standins/http_listener.h"

#include <charconv>
#include <sstream>

namespace thornplank::standins {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using net::ip::tcp;

namespace {

constexpr uint64_t kMaxBodyBytes = 64 * 1024 * 1024;
constexpr Milliseconds kAcceptRetryDelay{50};

}  // namespace

// One connection. Reads a request, passes it to the handler, writes the answer,
// and reads the next request.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(HttpListener* listener, tcp::socket socket)
      : listener_(listener), socket_(std::move(socket)) {
    // Non-blocking, so that the receive in WatchForClose cannot block the
    // strand.
    error_code ignored;
    socket_.non_blocking(true, ignored);
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       if (error) return self->Close();
                       self->Handle();
                     });
  }

  void Answer(Reply reply, const HttpRequest& request) {
    answer_due_ = false;
    auto message = MakeMessage(std::move(reply), request);
    http::async_write(
        socket_, *message,
        [self = shared_from_this(), message](error_code error, size_t) {
          if (error || !message->keep_alive()) return self->Close();
          self->Read();
        });
  }

  void AnswerTruncated(Reply reply, const HttpRequest& request) {
    answer_due_ = false;
    size_t omitted_bytes = (reply.body.size() + 1) / 2;
    std::ostringstream stream;
    stream << *MakeMessage(std::move(reply), request);
    auto bytes = std::make_shared<std::string>(stream.str());
    bytes->resize(bytes->size() - omitted_bytes);
    net::async_write(socket_, net::buffer(*bytes),
                     [self = shared_from_this(), bytes](error_code, size_t) {
                       self->Close();
                     });
  }

  void Close() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    listener_->sessions_.erase(shared_from_this());
  }

 private:
  using Message = http::response<http::string_body>;

  static std::shared_ptr<Message> MakeMessage(Reply reply,
                                              const HttpRequest& request) {
    auto message = std::make_shared<Message>(
        static_cast<http::status>(reply.status), request.version());
    message->set(http::field::content_type, reply.content_type);
    for (const auto& [name, value] : reply.headers) message->set(name, value);
    message->keep_alive(request.keep_alive());
    message->body() = std::move(reply.body);
    message->prepare_payload();
    return message;
  }

  void Handle() {
    answer_due_ = true;
    ++requests_;
    listener_->handler_(
        std::make_shared<Exchange>(shared_from_this(), parser_->release()));
    if (answer_due_) WatchForClose();
  }

  // Closes the connection if the peer closes it while its answer is
  // outstanding.
  void WatchForClose() {
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), number = requests_](error_code error) {
          if (error || !self->answer_due_ || number != self->requests_) return;
          char byte = 0;
          error_code peeked;
          self->socket_.receive(net::buffer(&byte, 1),
                                tcp::socket::message_peek, peeked);
          // The readiness event may be stale, left from before the last read.
          if (peeked == net::error::would_block) return self->WatchForClose();
          if (peeked) self->Close();
        });
  }

  HttpListener* listener_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  // Whether a request was read whose answer has not been started.
  bool answer_due_ = false;
  // Number of requests read on this connection.
  uint64_t requests_ = 0;
};

Reply JsonReply(const Json& body, int status) {
  Reply reply;
  reply.status = status;
  reply.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return reply;
}

Reply ProblemReply(int status, const std::string& title) {
  Reply reply = JsonReply(
      {{"type", "about:blank"}, {"title", title}, {"status", status}}, status);
  reply.content_type = "application/problem+json";
  return reply;
}

void RunAfter(const net::any_io_executor& executor, Duration delay,
              std::function<void()> action) {
  if (delay <= Duration::zero()) return net::post(executor, std::move(action));
  auto timer = std::make_shared<net::steady_timer>(executor, delay);
  timer->async_wait([timer, action = std::move(action)](error_code error) {
    if (!error) action();
  });
}

Exchange::Exchange(std::shared_ptr<Session> session, HttpRequest request)
    : session_(std::move(session)), request_(std::move(request)) {}

std::string Exchange::path() const {
  std::string target(request_.target());
  return target.substr(0, target.find('?'));
}

int64_t Exchange::QueryNumber(const std::string& name, int64_t fallback) const {
  std::string target(request_.target());
  size_t query = target.find('?');
  if (query == std::string::npos) return fallback;
  std::istringstream fields(target.substr(query + 1));
  std::string field;
  while (std::getline(fields, field, '&')) {
    if (field.rfind(name + "=", 0) != 0) continue;
    int64_t value = 0;
    const char* begin = field.data() + name.size() + 1;
    const char* end = field.data() + field.size();
    auto [stop, code] = std::from_chars(begin, end, value);
    return code == std::errc() && stop == end ? value : fallback;
  }
  return fallback;
}

std::string Exchange::Header(const std::string& name) const {
  return std::string(request_[name]);
}

void Exchange::Answer(Reply reply) {
  if (std::exchange(completed_, true)) return;
  session_->Answer(std::move(reply), request_);
}

void Exchange::AnswerTruncated(Reply reply) {
  if (std::exchange(completed_, true)) return;
  session_->AnswerTruncated(std::move(reply), request_);
}

void Exchange::Close() {
  if (std::exchange(completed_, true)) return;
  session_->Close();
}

HttpListener::HttpListener(net::any_io_executor executor, Handler handler)
    : executor_(std::move(executor)),
      handler_(std::move(handler)),
      acceptor_(executor_) {}

HttpListener::~HttpListener() = default;

bool HttpListener::Open(const std::string& address, Error* error) {
  auto endpoint = ParseEndpoint(address, error);
  if (!endpoint || !Listen(*endpoint, &acceptor_, error)) return false;
  Accept();
  return true;
}

std::string HttpListener::address() const {
  error_code ignored;
  return ToString(acceptor_.local_endpoint(ignored));
}

void HttpListener::CloseConnectionsExcept(const Session* excluded) {
  auto sessions = sessions_;
  for (const auto& session : sessions) {
    if (session.get() != excluded) session->Close();
  }
}

void HttpListener::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == net::error::operation_aborted) return;
    if (error) {
      return RunAfter(executor_, kAcceptRetryDelay, [this] { Accept(); });
    }
    Accept();
    if (max_connections_ > 0 && sessions_.size() >= max_connections_) return;
    socket.set_option(tcp::no_delay(true), error);
    auto session = std::make_shared<Session>(this, std::move(socket));
    sessions_.insert(session);
    session->Read();
  });
}

}  // namespace thornplank::standins
