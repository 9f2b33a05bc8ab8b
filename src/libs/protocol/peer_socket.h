// WebSocket connections between entries. Which connections are kept is decided
// by PeerMesh.
//
// Only peer_socket.cc includes websocketpp. The handlers of one socket run one
// after the other, on threads of the io_context, and never inside a call to the
// socket or the transport.
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

// A connection. Its functions may be called from any thread.
class PeerSocket {
 public:
  virtual ~PeerSocket() = default;

  // Queues a binary frame. Returns false if the connection no longer exists. A
  // frame that is queued while the connection closes is lost; `closed` runs in
  // that case.
  virtual bool Send(const std::string& frame) = 0;
  virtual void Ping() = 0;
  // Performs the closing handshake if the other end still answers, and drops
  // the connection after a short timeout otherwise.
  virtual void Close(const std::string& reason) = 0;
  // Must be called inside a handler of this socket.
  virtual void SetMaxMessageBytes(size_t bytes) = 0;
  // Bytes that wait to be written, except for the write in progress. The value
  // may be slightly out of date.
  virtual size_t queued_bytes() const = 0;
};

struct PeerSocketHandlers {
  std::function<void()> opened = [] {};
  std::function<void(std::string_view frame)> received = [](std::string_view) {
  };
  // A ping or pong frame was received.
  std::function<void()> control_frame_received = [] {};
  // Runs once, even if the connection was never opened.
  std::function<void(const std::string& reason)> closed =
      [](const std::string&) {};
};

// Listens and dials. May be destroyed while sockets are still closing.
class PeerTransport {
 public:
  using AcceptHandler =
      std::function<PeerSocketHandlers(std::shared_ptr<PeerSocket> socket)>;

  // `handshake_timeout` limits the time to connect and the time of the opening
  // handshake.
  PeerTransport(boost::asio::io_context& io, Milliseconds handshake_timeout,
                size_t initial_max_message_bytes);
  ~PeerTransport();

  // `address` is "ip:port"; port 0 selects a free port. Returns false and sets
  // `*error` on failure.
  bool Listen(const std::string& address, AcceptHandler handler, Error* error);
  // `handlers` returns the handlers for the new socket and runs before Dial
  // returns. Returns null and sets `*error` if the connection cannot be set up,
  // for example because `address` is malformed. Later failures are reported
  // through `closed`.
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

// The size of a WebSocket frame with `payload` bytes, including its header.
// Only frames from the dialling end are masked.
size_t FrameBytes(size_t payload, bool masked);

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_PEER_SOCKET_H_
