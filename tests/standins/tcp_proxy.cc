// Forwards bytes and applies the faults of the proxy.
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
// Limit of queued chunks per direction; while it is reached, nothing is read
// from the sender.
constexpr size_t kMaxQueuedChunks = 256;
constexpr Milliseconds kAcceptRetryDelay{50};

}  // namespace

// A client, its upstream, and the bytes queued between them.
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

  // From now on reads from both ends, but forwards nothing and closes neither.
  void Silence() {
    silent_ = true;
    for (Direction* direction : {&forward_, &backward_}) {
      direction->chunks.clear();
      if (!direction->reading && !direction->source_ended) Read(direction);
    }
  }

  // Forwards the bytes that were held during a freeze.
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
    // Empty for the end of the stream.
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
    // Whether such an operation is outstanding. `writing` includes the wait for
    // the front chunk to be due.
    bool reading = false;
    bool writing = false;
    // Whether `from` has reached its end or failed.
    bool source_ended = false;
    // Whether the end of the stream has been forwarded to `to`.
    bool sink_closed = false;
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
    direction->source_ended = static_cast<bool>(error);
    if (silent_) {
      if (!error) Read(direction);
      return;
    }
    if (error && error != net::error::eof) return Close();
    proxy_->forwarded_bytes_ += static_cast<int64_t>(size);
    const char* begin = direction->buffer.data();
    direction->chunks.push_back(
        {std::chrono::steady_clock::now() + proxy_->faults_.delay,
         std::vector<char>(begin, begin + size)});
    Write(direction);
    if (!error && direction->chunks.size() < kMaxQueuedChunks) Read(direction);
  }

  void Write(Direction* direction) {
    if (silent_ || direction->writing || direction->chunks.empty()) return;
    if (proxy_->faults_.freeze) return;
    direction->writing = true;
    // The timer is used without a delay as well, so that Write does not
    // recurse.
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
    if (bytes->empty()) return ShutDownSink(direction);
    direction->writing = true;
    net::async_write(*direction->to, net::buffer(*bytes),
                     [self = shared_from_this(), direction, bytes](
                         error_code error, size_t) {
                       direction->writing = false;
                       if (self->silent_) return;
                       if (error) return self->Close();
                       if (!direction->reading && !direction->source_ended) {
                         self->Read(direction);
                       }
                       self->Write(direction);
                     });
  }

  void ShutDownSink(Direction* direction) {
    error_code ignored;
    direction->to->shutdown(tcp::socket::shutdown_send, ignored);
    direction->sink_closed = true;
    if (forward_.sink_closed && backward_.sink_closed) Close();
  }

  TcpProxy* proxy_;
  tcp::socket client_;
  tcp::socket upstream_;
  // Client to upstream, and upstream to client.
  Direction forward_;
  Direction backward_;
  // Never reset, also not by `heal`.
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
  return EnsureListening(error);
}

std::string TcpProxy::forwarding_address() const {
  return ToString(listen_endpoint_);
}

bool TcpProxy::EnsureListening(Error* error) {
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
    ++accepted_connections_;
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
          {"accepted", accepted_connections_},
          {"connections", connections_.size()},
          {"bytes", forwarded_bytes_}};
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
  return EnsureListening(error);
}

}  // namespace thornplank::standins
