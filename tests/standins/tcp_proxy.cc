// Forwarding of bytes and the faults of the proxy.
#include "standins/tcp_proxy.h"

#include <array>
#include <deque>
#include <utility>
#include <vector>

namespace thornplank::standins {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

namespace {

constexpr size_t kChunkBytes = 16 * 1024;
// Chunks waiting in one direction; beyond it the sender is not read.
constexpr size_t kMaxChunks = 256;
constexpr Milliseconds kAcceptRetryDelay{50};

}  // namespace

// Two sockets and the bytes on their way between them.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection> {
 public:
  ProxyConnection(TcpProxy* proxy, tcp::socket client)
      : proxy_(proxy),
        client_(std::move(client)),
        upstream_(client_.get_executor()),
        forward_(&client_, &upstream_),
        backward_(&upstream_, &client_) {}

  void Start(const tcp::endpoint& target) {
    upstream_.async_connect(
        target, [self = shared_from_this()](error_code error) {
          if (error) return self->Close();
          if (self->silent_) return;
          self->upstream_.set_option(tcp::no_delay(true), error);
          self->Read(&self->forward_);
          self->Read(&self->backward_);
        });
  }

  // From now on both ends are read and nothing is passed on or closed.
  void Silence() {
    silent_ = true;
    for (Direction* direction : {&forward_, &backward_}) {
      direction->chunks.clear();
      if (!direction->reading && !direction->ended) Read(direction);
    }
  }

  // Passes on what was held, after a freeze.
  void Resume() {
    Write(&forward_);
    Write(&backward_);
  }

  void Close() {
    error_code ignored;
    client_.close(ignored);
    upstream_.close(ignored);
    forward_.timer.cancel();
    backward_.timer.cancel();
    proxy_->connections_.erase(shared_from_this());
  }

 private:
  struct Chunk {
    Time due;
    // Empty at the end of the stream.
    std::vector<char> bytes;
  };
  struct Direction {
    Direction(tcp::socket* source, tcp::socket* sink)
        : from(source), to(sink), timer(source->get_executor()) {}

    tcp::socket* from;
    tcp::socket* to;
    net::steady_timer timer;
    std::array<char, kChunkBytes> buffer;
    std::deque<Chunk> chunks;
    // An operation of that kind is outstanding; at most one of each.
    bool reading = false;
    bool writing = false;
    // `from` has sent its last byte.
    bool ended = false;
    // The end has been passed on to `to`.
    bool closed = false;
  };

  void Read(Direction* direction) {
    direction->reading = true;
    direction->from->async_read_some(
        net::buffer(direction->buffer),
        [self = shared_from_this(), direction](error_code error, size_t size) {
          direction->reading = false;
          self->OnRead(direction, error, size);
        });
  }

  void OnRead(Direction* direction, error_code error, size_t size) {
    if (error == net::error::operation_aborted) return;
    direction->ended = static_cast<bool>(error);
    if (silent_) {
      if (!error) Read(direction);
      return;
    }
    if (error && error != net::error::eof) return Close();
    proxy_->bytes_ += static_cast<int64_t>(size);
    const char* begin = direction->buffer.data();
    direction->chunks.push_back(
        {std::chrono::steady_clock::now() + proxy_->faults_.delay,
         std::vector<char>(begin, begin + size)});
    Write(direction);
    if (!error && direction->chunks.size() < kMaxChunks) Read(direction);
  }

  void Write(Direction* direction) {
    if (silent_ || direction->writing || direction->chunks.empty()) return;
    if (proxy_->faults_.freeze) return;
    direction->writing = true;
    // The timer also keeps Write from calling itself.
    direction->timer.expires_at(direction->chunks.front().due);
    direction->timer.async_wait(
        [self = shared_from_this(), direction](error_code error) {
          direction->writing = false;
          if (error || self->silent_ || direction->chunks.empty()) return;
          if (self->proxy_->faults_.freeze) return;
          self->WriteFront(direction);
        });
  }

  void WriteFront(Direction* direction) {
    auto bytes = std::make_shared<std::vector<char>>(
        std::move(direction->chunks.front().bytes));
    direction->chunks.pop_front();
    if (bytes->empty()) return EndDirection(direction);
    direction->writing = true;
    net::async_write(*direction->to, net::buffer(*bytes),
                     [self = shared_from_this(), direction, bytes](
                         error_code error, size_t) {
                       direction->writing = false;
                       if (self->silent_) return;
                       if (error) return self->Close();
                       if (!direction->reading && !direction->ended) {
                         self->Read(direction);
                       }
                       self->Write(direction);
                     });
  }

  void EndDirection(Direction* direction) {
    error_code ignored;
    direction->to->shutdown(tcp::socket::shutdown_send, ignored);
    direction->closed = true;
    if (forward_.closed && backward_.closed) Close();
  }

  TcpProxy* proxy_;
  tcp::socket client_;
  tcp::socket upstream_;
  // From the client to the upstream, and back.
  Direction forward_;
  Direction backward_;
  // Never reset: such a connection is lost for good.
  bool silent_ = false;
};

TcpProxy::TcpProxy(const net::any_io_executor& executor, ProxySettings settings)
    : Role(executor), settings_(std::move(settings)), acceptor_(executor) {}

TcpProxy::~TcpProxy() = default;

bool TcpProxy::OpenForwarding(const std::string& target, Error* error) {
  auto listen = ParseEndpoint(settings_.listen, error);
  auto upstream = ParseEndpoint(target, error);
  if (!listen || !upstream) return false;
  listen_endpoint_ = *listen;
  target_endpoint_ = *upstream;
  return Reopen(error);
}

std::string TcpProxy::forwarding_address() const {
  return ToString(listen_endpoint_);
}

bool TcpProxy::Reopen(Error* error) {
  if (acceptor_.is_open()) return true;
  if (!Listen(listen_endpoint_, &acceptor_, error)) return false;
  error_code ignored;
  listen_endpoint_ = acceptor_.local_endpoint(ignored);
  Accept();
  return true;
}

void TcpProxy::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == net::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) {
      return RunAfter(executor(), kAcceptRetryDelay, [this] {
        if (acceptor_.is_open()) Accept();
      });
    }
    ++accepted_;
    socket.set_option(tcp::no_delay(true), error);
    auto connection =
        std::make_shared<ProxyConnection>(this, std::move(socket));
    connections_.insert(connection);
    connection->Start(target_endpoint_);
    Accept();
  });
}

void TcpProxy::Cut() {
  error_code ignored;
  acceptor_.close(ignored);
  auto connections = connections_;
  for (const auto& connection : connections) connection->Close();
}

void TcpProxy::Handle(ExchangePtr exchange) {
  exchange->Answer(ProblemReply(404, "no such resource"));
}

Json TcpProxy::ControlState() {
  return {{"cut", faults_.cut},
          {"freeze", faults_.freeze},
          {"delay_ms", faults_.delay.count()},
          {"accepted", accepted_},
          {"connections", connections_.size()},
          {"bytes", bytes_}};
}

bool TcpProxy::ApplyControl(const Json& control, Error* error) {
  if (!HasOnlyFields(control,
                     {"cut", "freeze", "delay_ms", "silent_existing", "heal"},
                     error)) {
    return false;
  }
  ReadField(control, "cut", &faults_.cut);
  ReadField(control, "freeze", &faults_.freeze);
  ReadField(control, "delay_ms", &faults_.delay);
  if (BoolField(control, "heal").value_or(false)) faults_ = ProxyFaults();
  if (BoolField(control, "silent_existing").value_or(false)) {
    for (const auto& connection : connections_) connection->Silence();
  }
  if (faults_.cut) {
    Cut();
    return true;
  }
  auto connections = connections_;
  for (const auto& connection : connections) connection->Resume();
  return Reopen(error);
}

}  // namespace thornplank::standins
