// WebSocket connections between entries, without the rules of the mesh.
//
// websocketpp is included by peer_socket.cc alone. All handlers of one socket
// run one after the other, on threads of the io_context, and never inside a
// call into the socket or the transport.
#ifndef THORNPLANK_PROTOCOL_PEER_SOCKET_H_
#define THORNPLANK_PROTOCOL_PEER_SOCKET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

// One connection. Its functions may be called from any thread.
class PeerSocket {
 public:
  virtual ~PeerSocket() = default;

  // Queues a binary frame; false when the socket is gone. A frame queued while
  // the socket closes is lost, which `closed` tells.
  virtual bool Send(const std::string& frame) = 0;
  virtual void Ping() = 0;
  // Says goodbye where the other end still answers, and drops the connection
  // soon in any case.
  virtual void Close(const std::string& reason) = 0;
  // To be called inside a handler of this socket.
  virtual void SetMaxMessageBytes(size_t bytes) = 0;
  // Bytes that wait behind the write in progress; may lag a moment.
  virtual size_t queued_bytes() const = 0;
};

struct PeerSocketHandlers {
  std::function<void()> opened = [] {};
  std::function<void(std::string_view frame)> received = [](std::string_view) {
  };
  // A ping or pong frame came in.
  std::function<void()> heard = [] {};
  // Runs once, also when the connection was never opened.
  std::function<void(const std::string& reason)> closed =
      [](const std::string&) {};
};

// Listens and dials. It may be destroyed while sockets are still closing.
class PeerTransport {
 public:
  using AcceptHandler =
      std::function<PeerSocketHandlers(std::shared_ptr<PeerSocket> socket)>;

  // `handshake_timeout` bounds connecting and the opening handshake.
  PeerTransport(boost::asio::io_context& io, Milliseconds handshake_timeout,
                size_t initial_max_message_bytes);
  ~PeerTransport();

  // `address` is "ip:port"; port 0 takes a free one.
  bool Listen(const std::string& address, AcceptHandler handler, Error* error);
  // Null and `*error` when `address` is malformed.
  std::shared_ptr<PeerSocket> Dial(
      const std::string& address,
      std::function<PeerSocketHandlers(std::shared_ptr<PeerSocket>)> handlers,
      Error* error);
  void StopListening();
  // The bound address; empty before Listen.
  std::string address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// The bytes that a frame with `payload` bytes takes on a connection.
size_t FrameBytes(size_t payload, bool masked);

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_PEER_SOCKET_H_
