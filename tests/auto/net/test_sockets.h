// Raw sockets for tests: a caller that sends arbitrary bytes and a peer that
// responds with arbitrary bytes.
#ifndef THORNPLANK_TESTS_NET_TEST_SOCKETS_H_
#define THORNPLANK_TESTS_NET_TEST_SOCKETS_H_

#include <sys/socket.h>
#include <sys/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "net/endpoint.h"
#include "net/http_client.h"

namespace thornplank::test {

// A blocking connection. Reads time out after five seconds.
class RawConnection {
 public:
  explicit RawConnection(boost::asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {
    timeval limit{5, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                 sizeof(limit));
  }

  bool Send(const std::string& bytes) {
    boost::system::error_code code;
    boost::asio::write(socket_, boost::asio::buffer(bytes), code);
    return !code;
  }

  // Reads until the text read contains `end` or the connection ends.
  std::string ReadUntil(const std::string& end) {
    std::string text;
    char byte = 0;
    while (text.find(end) == std::string::npos &&
           ::recv(socket_.native_handle(), &byte, 1, 0) == 1) {
      text.push_back(byte);
    }
    return text;
  }
  std::string ReadHeader() { return ReadUntil("\r\n\r\n"); }
  // Reads up to the end of the connection.
  std::string ReadAll() {
    std::string text;
    char bytes[4096];
    ssize_t count = 0;
    while ((count = ::recv(socket_.native_handle(), bytes, sizeof(bytes), 0)) >
           0) {
      text.append(bytes, static_cast<size_t>(count));
    }
    ended_ = count == 0;
    return text;
  }
  // After ReadAll: whether the peer closed the connection without a reset or a
  // timeout.
  bool ended() const { return ended_; }

  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
  boost::asio::ip::tcp::socket socket_;
  bool ended_ = false;
};

inline RawConnection ConnectRaw(boost::asio::io_context& io,
                                const std::string& address) {
  boost::asio::ip::tcp::socket socket(io);
  boost::system::error_code code;
  socket.connect(*ParseEndpoint(address, nullptr), code);
  return RawConnection(std::move(socket));
}

// A peer that runs the next script for each accepted connection, on its own
// thread. Connections beyond the last script are closed immediately.
class ScriptedPeer {
 public:
  using Script = std::function<void(RawConnection&)>;

  explicit ScriptedPeer(std::vector<Script> scripts)
      : acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        address_(FormatEndpoint(acceptor_.local_endpoint())),
        scripts_(std::move(scripts)),
        thread_([this] { Run(); }) {}

  ~ScriptedPeer() {
    stopping_ = true;
    // Unblocks the accept call.
    ConnectRaw(io_, address_);
    thread_.join();
    for (std::thread& thread : script_threads_) {
      thread.join();
    }
  }

  const std::string& address() const { return address_; }
  int accepted() const { return accepted_; }

 private:
  void Run() {
    size_t next = 0;
    while (true) {
      boost::asio::ip::tcp::socket socket(io_);
      boost::system::error_code code;
      acceptor_.accept(socket, code);
      if (stopping_) return;
      if (code) continue;
      ++accepted_;
      if (next == scripts_.size()) continue;
      script_threads_.emplace_back(
          [script = scripts_[next++],
           connection = RawConnection(std::move(socket))]() mutable {
            script(connection);
          });
    }
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string address_;
  const std::vector<Script> scripts_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> accepted_{0};
  std::vector<std::thread> script_threads_;
  std::thread thread_;
};

struct SendResult {
  std::optional<HttpResponse> response;
  HttpFailure failure;
};

inline std::future<SendResult> SendAsync(HttpClient& client,
                                         const std::string& peer,
                                         HttpRequest request,
                                         HttpSendOptions options = {}) {
  auto promise = std::make_shared<std::promise<SendResult>>();
  std::future<SendResult> future = promise->get_future();
  client.Send(peer, std::move(request), std::move(options),
              [promise](std::optional<HttpResponse> response,
                        const HttpFailure& failure) {
                promise->set_value({std::move(response), failure});
              });
  return future;
}

}  // namespace thornplank::test

#endif  // THORNPLANK_TESTS_NET_TEST_SOCKETS_H_
