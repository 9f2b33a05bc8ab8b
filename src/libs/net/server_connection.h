// One connection of an HttpServer: reads a request, has it handled, writes the
// response, and begins again.
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

// The server as its connections see it. Every member is thread-safe.
class ServerConnectionOwner {
 public:
  virtual ~ServerConnectionOwner() = default;

  virtual const HttpServerLimits& limits() const = 0;
  virtual bool draining() const = 0;
  // Takes `bytes` out of the budget for bodies; false when it is used up.
  virtual bool ReserveBytes(size_t bytes) = 0;
  virtual void ReleaseBytes(size_t bytes) = 0;
  virtual void OnRequestBegun() = 0;
  virtual void OnRequestEnded() = 0;
  virtual void Handle(HttpRequest request, HttpServer::Responder respond) = 0;
  // The last call of a connection.
  virtual void OnClosed(const std::shared_ptr<ServerConnection>& self) = 0;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // The executor of `socket` must be a strand.
  ServerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<ServerConnectionOwner> owner);

  // Each of these may be called on any thread.
  void Start();
  // Answers before any request was read, and closes.
  void Refuse(HttpResponse response);
  // A connection without a request gets a short grace, then closes; another
  // closes after its response.
  void Drain();
  void Close();

 private:
  enum class Phase {
    kIdle,
    kHeader,
    kBody,
    kHandling,
    kWriting,
    // Everything is written; what the peer still sends is discarded, since
    // closing on unread bytes would reset the connection under the response.
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
  void Discard();
  void Finish();
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
  // Bytes of this connection's body that are counted in the owner's budget.
  size_t reserved_bytes_ = 0;
  bool keep_alive_ = true;
  bool is_head_ = false;
  bool in_flight_ = false;
  std::string header_out_;
  std::string body_out_;
  // When the present phase ends by timeout. The timer may be armed for an
  // earlier moment, never for a later one.
  Time deadline_ = Time::max();
  Time armed_until_ = Time::max();
  boost::asio::steady_timer timer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_SERVER_CONNECTION_H_
