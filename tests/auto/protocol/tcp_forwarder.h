// A TCP forwarder for tests. It can stop forwarding on its existing
// connections, which then stay open without passing data, while new connections
// work. This imitates a network device that has lost its connection state.
#ifndef THORNPLANK_TESTS_TCP_FORWARDER_H_
#define THORNPLANK_TESTS_TCP_FORWARDER_H_

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace thornplank {

class TcpForwarder : public std::enable_shared_from_this<TcpForwarder> {
 public:
  using tcp = boost::asio::ip::tcp;

  // Listens on a free port of 127.0.0.1.
  explicit TcpForwarder(boost::asio::io_context& io)
      : io_(io),
        acceptor_(io,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {}

  // `target` is "127.0.0.1:port".
  void Start(const std::string& target) {
    target_ = tcp::endpoint(
        boost::asio::ip::address_v4::loopback(),
        static_cast<uint16_t>(std::stoi(target.substr(target.rfind(':') + 1))));
    Accept();
  }

  // From now on, the existing connections discard all data.
  void SilenceExisting() { silent_below_ = accepted_.load(); }
  void Stop() {
    boost::asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
      boost::system::error_code ec;
      self->acceptor_.close(ec);
    });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int accepted() const { return accepted_; }
  int open() const { return open_; }

 private:
  struct Pair {
    explicit Pair(boost::asio::io_context& io)
        : strand(boost::asio::make_strand(io)), near(strand), far(strand) {}
    int number = 0;
    bool counted_as_open = true;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    tcp::socket near;
    tcp::socket far;
    std::array<char, 4096> near_buffer;
    std::array<char, 4096> far_buffer;
  };

  void Accept() {
    const auto pair = std::make_shared<Pair>(io_);
    acceptor_.async_accept(
        pair->near,
        [self = shared_from_this(), pair](const boost::system::error_code& ec) {
          if (ec) return;
          pair->number = self->accepted_++;
          ++self->open_;
          pair->far.async_connect(
              self->target_,
              [self, pair](const boost::system::error_code& connect_ec) {
                if (connect_ec) return self->Close(pair);
                self->Forward(pair, &pair->near, &pair->far,
                              &pair->near_buffer);
                self->Forward(pair, &pair->far, &pair->near, &pair->far_buffer);
              });
          self->Accept();
        });
  }

  void Forward(const std::shared_ptr<Pair>& pair, tcp::socket* from,
               tcp::socket* to, std::array<char, 4096>* buffer) {
    from->async_read_some(
        boost::asio::buffer(*buffer),
        [self = shared_from_this(), pair, from, to, buffer](
            const boost::system::error_code& ec, std::size_t size) {
          const bool silent = pair->number < self->silent_below_;
          // A silent pair does not forward the end of a connection either.
          if (ec && silent) return;
          if (ec) return self->Close(pair);
          if (silent) return self->Forward(pair, from, to, buffer);
          boost::asio::async_write(
              *to, boost::asio::buffer(*buffer, size),
              [self, pair, from, to, buffer](
                  const boost::system::error_code& write_ec, std::size_t) {
                if (write_ec) return self->Close(pair);
                self->Forward(pair, from, to, buffer);
              });
        });
  }

  void Close(const std::shared_ptr<Pair>& pair) {
    boost::system::error_code ec;
    pair->near.close(ec);
    pair->far.close(ec);
    if (pair->counted_as_open) --open_;
    pair->counted_as_open = false;
  }

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  std::atomic<int> accepted_{0};
  std::atomic<int> open_{0};
  // Pairs with lower numbers discard all data.
  std::atomic<int> silent_below_{0};
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_TCP_FORWARDER_H_
