// PeerSocket and PeerTransport over websocketpp and Boost.Asio.
//
// websocketpp runs each connection once its TCP socket is connected. Accepting
// and connecting are implemented here, so that every pending operation owns the
// objects it uses and the endpoints outlive their connections.
#include "protocol/peer_socket.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <mutex>
#include <optional>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace thornplank {
namespace {

using boost::asio::ip::tcp;
// The same configuration for both ends, so that both have the same connection
// type.
using Config = websocketpp::config::asio_client;
using ServerEndpoint = websocketpp::server<Config>;
using ClientEndpoint = websocketpp::client<Config>;
using Connection = websocketpp::connection<Config>;
using ConnectionPtr = std::shared_ptr<Connection>;
using ConnectionHandle = websocketpp::connection_hdl;

// How long a closing connection waits for the close frame of the other end.
constexpr Milliseconds kCloseHandshakeTimeout{500};
// Delay after a failed accept, for example if no file descriptor is free.
constexpr Milliseconds kAcceptRetryDelay{100};
// A close frame holds at most 123 bytes of text.
constexpr size_t kMaxCloseReason = 120;
constexpr char kStep[] = "peer address";

std::optional<tcp::endpoint> ParseAddress(const std::string& address,
                                          Error* error) {
  const size_t colon = address.rfind(':');
  boost::system::error_code ec;
  if (colon != std::string::npos) {
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), ec);
    uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (!ec && parsed.ec == std::errc() && parsed.ptr == end) {
      return tcp::endpoint(ip, port);
    }
  }
  SetError(error, kStep, address, "not of the form ip:port");
  return std::nullopt;
}

std::string ToString(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// websocketpp determines the byte order on first use, without a lock. Doing it
// in the initializer of a static variable prevents a data race.
void InitializeByteOrder() {
  [[maybe_unused]] static const uint64_t order =
      websocketpp::lib::net::_htonll(1);
}

template <typename Endpoint>
void InitializeEndpoint(Endpoint* endpoint, boost::asio::io_context* io,
                        Milliseconds handshake_timeout,
                        size_t max_message_bytes) {
  endpoint->clear_access_channels(websocketpp::log::alevel::all);
  endpoint->clear_error_channels(websocketpp::log::elevel::all);
  websocketpp::lib::error_code ec;
  endpoint->init_asio(io, ec);
  endpoint->set_open_handshake_timeout(handshake_timeout.count());
  endpoint->set_close_handshake_timeout(kCloseHandshakeTimeout.count());
  endpoint->set_max_message_size(max_message_bytes);
}

// websocketpp protects only part of a connection's state with locks, so every
// access to a connection runs on its strand, as its handlers do.
class WebSocket : public PeerSocket {
 public:
  explicit WebSocket(const ConnectionPtr& connection)
      : connection_(connection) {}

  bool Send(const std::string& frame) override {
    const ConnectionPtr connection = connection_.lock();
    if (!connection) return false;
    queue_->posted_bytes += frame.size();
    connection->get_strand()->post([connection, frame, queue = queue_] {
      connection->send(frame, websocketpp::frame::opcode::binary);
      queue->buffered_bytes = connection->get_buffered_amount();
      queue->posted_bytes -= frame.size();
    });
    return true;
  }

  void Ping() override {
    const ConnectionPtr connection = connection_.lock();
    if (!connection) return;
    connection->get_strand()->post([connection] {
      websocketpp::lib::error_code ec;
      connection->ping("", ec);
    });
  }

  void Close(const std::string& reason) override {
    const ConnectionPtr connection = connection_.lock();
    if (!connection) return;
    connection->get_strand()->post([connection, started = started_,
                                    text = reason.substr(0, kMaxCloseReason)] {
      websocketpp::lib::error_code ec;
      connection->close(websocketpp::close::status::going_away, text, ec);
      // The connection is not open yet, or is closing already.
      if (ec) Drop(connection, *started);
    });
  }

  void SetMaxMessageBytes(size_t bytes) override {
    if (const ConnectionPtr connection = connection_.lock()) {
      connection->set_max_message_size(bytes);
    }
  }

  size_t queued_bytes() const override {
    const ConnectionPtr connection = connection_.lock();
    if (connection && queue_->buffered_bytes > 0) {
      connection->get_strand()->post([connection, queue = queue_] {
        queue->buffered_bytes = connection->get_buffered_amount();
      });
    }
    return queue_->posted_bytes + queue_->buffered_bytes;
  }

  // Must be called on the connection's strand once the TCP socket is connected.
  void Start(const ConnectionPtr& connection) {
    boost::system::error_code ec;
    connection->get_raw_socket().set_option(tcp::no_delay(true), ec);
    *started_ = true;
    connection->start();
  }

  // Must be called on the connection's strand.
  static void Drop(const ConnectionPtr& connection, bool started) {
    if (started) {
      connection->terminate(websocketpp::error::make_error_code(
          websocketpp::error::operation_canceled));
      return;
    }
    boost::system::error_code ec;
    connection->get_raw_socket().close(ec);
  }

 private:
  struct Queue {
    // Of frames that were posted to the strand and are not sent there yet.
    std::atomic<size_t> posted_bytes{0};
    // Waiting in websocketpp behind the write in progress, when last read.
    std::atomic<size_t> buffered_bytes{0};
  };

  // Weak, since the connection's handlers own this object.
  const std::weak_ptr<Connection> connection_;
  // Accessed only on the connection's strand.
  const std::shared_ptr<bool> started_ = std::make_shared<bool>(false);
  const std::shared_ptr<Queue> queue_ = std::make_shared<Queue>();
};

// `owner` keeps the endpoint alive as long as the connection exists.
void InstallHandlers(const ConnectionPtr& connection,
                     const std::shared_ptr<PeerSocketHandlers>& handlers,
                     const std::shared_ptr<void>& owner) {
  connection->set_open_handler(
      [handlers, owner](const ConnectionHandle&) { handlers->opened(); });
  connection->set_message_handler(
      [handlers](const ConnectionHandle&,
                 const Connection::message_ptr& message) {
        handlers->received(message->get_payload());
      });
  connection->set_ping_handler(
      [handlers](const ConnectionHandle&, const std::string&) {
        handlers->control_frame_received();
        return true;
      });
  connection->set_pong_handler(
      [handlers](const ConnectionHandle&, const std::string&) {
        handlers->control_frame_received();
      });
  const std::weak_ptr<Connection> weak = connection;
  const auto ended = [handlers, weak](const ConnectionHandle&) {
    const ConnectionPtr ended_connection = weak.lock();
    handlers->closed(ended_connection ? ended_connection->get_ec().message()
                                      : "connection lost");
  };
  connection->set_close_handler(ended);
  connection->set_fail_handler(ended);
}

}  // namespace

class PeerTransport::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, Milliseconds handshake_timeout,
       size_t max_message_bytes)
      : io_(io),
        acceptor_(io),
        retry_timer_(io),
        handshake_timeout_(handshake_timeout) {
    InitializeByteOrder();
    InitializeEndpoint(&server_, &io, handshake_timeout, max_message_bytes);
    InitializeEndpoint(&client_, &io, handshake_timeout, max_message_bytes);
  }

  bool Listen(const std::string& address, AcceptHandler handler, Error* error) {
    const std::optional<tcp::endpoint> endpoint = ParseAddress(address, error);
    if (!endpoint) return false;
    boost::system::error_code ec;
    const std::lock_guard lock(mutex_);
    acceptor_.open(endpoint->protocol(), ec);
    if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) acceptor_.bind(*endpoint, ec);
    if (!ec) {
      acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      SetError(error, "listen", address, ec.message());
      return false;
    }
    address_ = ToString(acceptor_.local_endpoint(ec));
    accept_handler_ = std::move(handler);
    AcceptNext();
    return true;
  }

  std::shared_ptr<PeerSocket> Dial(
      const std::string& address,
      const std::function<PeerSocketHandlers(std::shared_ptr<PeerSocket>)>&
          make_handlers,
      Error* error) {
    const std::optional<tcp::endpoint> endpoint = ParseAddress(address, error);
    if (!endpoint) return nullptr;
    websocketpp::lib::error_code ec;
    const ConnectionPtr connection =
        client_.get_connection("ws://" + address + "/", ec);
    if (ec || !connection) {
      SetError(error, "dial", address, ec.message());
      return nullptr;
    }
    const auto socket = std::make_shared<WebSocket>(connection);
    const auto handlers =
        std::make_shared<PeerSocketHandlers>(make_handlers(socket));
    InstallHandlers(connection, handlers, shared_from_this());
    Connect(*endpoint, connection, socket, handlers);
    return socket;
  }

  void StopListening() {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    boost::system::error_code ec;
    acceptor_.close(ec);
    retry_timer_.cancel(ec);
  }

  std::string address() const {
    const std::lock_guard lock(mutex_);
    return address_;
  }

 private:
  void Connect(const tcp::endpoint& endpoint, const ConnectionPtr& connection,
               const std::shared_ptr<WebSocket>& socket,
               const std::shared_ptr<PeerSocketHandlers>& handlers) {
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(io_, handshake_timeout_);
    const auto strand = connection->get_strand();
    timer->async_wait(
        strand->wrap([connection, timer](const boost::system::error_code& ec) {
          if (!ec) WebSocket::Drop(connection, /*started=*/false);
        }));
    strand->post([self = shared_from_this(), endpoint, connection, socket,
                  handlers, timer, strand] {
      connection->get_raw_socket().async_connect(
          endpoint, strand->wrap([self, connection, socket, handlers,
                                  timer](const boost::system::error_code& ec) {
            timer->cancel();
            if (ec) {
              handlers->closed(ec.message());
              return;
            }
            socket->Start(connection);
          }));
    });
  }

  // mutex_ must be held.
  void AcceptNext() {
    if (stopped_) return;
    const ConnectionPtr connection = server_.get_connection();
    if (!connection) return;
    acceptor_.async_accept(connection->get_raw_socket(),
                           [self = shared_from_this(),
                            connection](const boost::system::error_code& ec) {
                             self->HandleAccept(connection, ec);
                           });
  }

  void HandleAccept(const ConnectionPtr& connection,
                    const boost::system::error_code& ec) {
    if (!ec) {
      const auto socket = std::make_shared<WebSocket>(connection);
      const auto handlers =
          std::make_shared<PeerSocketHandlers>(accept_handler_(socket));
      InstallHandlers(connection, handlers, shared_from_this());
      connection->get_strand()->post(
          [socket, connection] { socket->Start(connection); });
    }
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    if (!ec) {
      AcceptNext();
      return;
    }
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& wait_ec) {
          if (wait_ec) return;
          const std::lock_guard relock(self->mutex_);
          self->AcceptNext();
        });
  }

  boost::asio::io_context& io_;
  ServerEndpoint server_;
  ClientEndpoint client_;
  // Set before the first accept and only read afterwards.
  AcceptHandler accept_handler_;
  // Guards the members below. No handler is called while it is held.
  mutable std::mutex mutex_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  bool stopped_ = false;
  std::string address_;
  const Milliseconds handshake_timeout_;
};

PeerTransport::PeerTransport(boost::asio::io_context& io,
                             Milliseconds handshake_timeout,
                             size_t initial_max_message_bytes)
    : impl_(std::make_shared<Impl>(io, handshake_timeout,
                                   initial_max_message_bytes)) {}

PeerTransport::~PeerTransport() { impl_->StopListening(); }

bool PeerTransport::Listen(const std::string& address, AcceptHandler handler,
                           Error* error) {
  return impl_->Listen(address, std::move(handler), error);
}

std::shared_ptr<PeerSocket> PeerTransport::Dial(
    const std::string& address,
    std::function<PeerSocketHandlers(std::shared_ptr<PeerSocket>)> handlers,
    Error* error) {
  return impl_->Dial(address, handlers, error);
}

void PeerTransport::StopListening() { impl_->StopListening(); }

std::string PeerTransport::address() const { return impl_->address(); }

size_t FrameBytes(size_t payload, bool masked) {
  constexpr size_t kShortPayload = 125;
  constexpr size_t kMediumPayload = 65535;
  constexpr size_t kMaskBytes = 4;
  size_t header = 2;
  if (payload > kMediumPayload) {
    header += 8;
  } else if (payload > kShortPayload) {
    header += 2;
  }
  return header + (masked ? kMaskBytes : 0) + payload;
}

}  // namespace thornplank
