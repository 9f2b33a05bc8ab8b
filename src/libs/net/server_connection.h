// One connection of an HttpServer: reads a request, passes it to the handler,
// writes the response, and repeats.
#ifndef THORNPLANK_NET_SERVER_CONNECTION_H_
#define THORNPLANK_NET_SERVER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "net/http_codec.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace thornplank {

class ServerConnection;

// The server's interface to its connections. Thread-safe.
class ServerConnectionOwner {
 public:
  virtual ~ServerConnectionOwner() = default;

  virtual const HttpServerLimits& limits() const = 0;
  virtual bool draining() const = 0;
  // Reserves `bytes` of the budget for request bodies; false when not enough is
  // left.
  virtual bool ReserveBytes(size_t bytes) = 0;
  virtual void ReleaseBytes(size_t bytes) = 0;
  virtual void OnRequestStarted() = 0;
  virtual void OnRequestEnded() = 0;
  virtual void Handle(HttpRequest request, HttpServer::Responder respond) = 0;
  // Called last by each connection.
  virtual void OnClosed(const std::shared_ptr<ServerConnection>& self) = 0;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // The executor of `socket` must be a strand.
  ServerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<ServerConnectionOwner> owner);

  // The following functions are thread-safe.
  void Start();
  // Sends `response` without reading a request, then closes.
  void Refuse(HttpResponse response);
  // Closes an idle connection after a grace period, and any other one after its
  // response.
  void Drain();
  void Close();

 private:
  enum class Phase {
    kIdle,
    kHeader,
    kBody,
    kHandling,
    kWriting,
    // The response is written. Further input is discarded, because closing a
    // socket with unread bytes would reset the connection before the peer has
    // read the response.
    kLingering,
    kClosed,
  };
  class PendingResponse;

  void BeginRequest(Duration first_byte_timeout);
  void Read();
  void OnRead(size_t bytes);
  void Parse();
  bool AcceptHeader();
  bool ReserveBody(size_t bytes);
  void SendContinue();
  void Dispatch();
  void Respond(HttpResponse response);
  void RefuseRequest(int status, const std::string& reason);
  void Write(HttpResponse response, bool keep_alive);
  void OnWritten();
  void Linger();
  void DiscardInput();
  void CloseNow();
  void SetDeadline(Duration from_now);
  void ArmTimer();
  void OnDeadline();

  // Everything below is used on the strand only.
  boost::asio::ip::tcp::socket socket_;
  const std::shared_ptr<ServerConnectionOwner> owner_;
  std::string remote_;
  Phase phase_ = Phase::kIdle;
  boost::asio::streambuf buffer_;
  std::optional<RequestParser> parser_;
  // Bytes reserved from the owner's budget for the request body.
  size_t reserved_bytes_ = 0;
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  bool in_flight_ = false;
  std::string header_out_;
  std::string body_out_;
  // Deadline of the current phase. The timer may be armed for an earlier time,
  // never for a later one.
  Time deadline_ = Time::max();
  Time timer_expiry_ = Time::max();
  boost::asio::steady_timer timer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_SERVER_CONNECTION_H_
