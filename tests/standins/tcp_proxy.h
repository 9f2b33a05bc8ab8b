// A TCP proxy between two ends that can cut, hold, delay or lose bytes.
#ifndef THORNPLANK_TESTS_STANDINS_TCP_PROXY_H_
#define THORNPLANK_TESTS_STANDINS_TCP_PROXY_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "standins/role.h"

namespace thornplank::standins {

struct ProxySettings {
  std::string listen;
  // Where the control interface listens.
  std::string control;
  // "ip:port", or the name of a role of this process.
  std::string target;
};

class ProxyConnection;

// The faults that connections look at.
struct ProxyFaults {
  bool cut = false;
  bool freeze = false;
  Milliseconds delay{0};
};

// The role's own listener is the control interface.
class TcpProxy : public Role {
 public:
  TcpProxy(const boost::asio::any_io_executor& executor,
           ProxySettings settings);
  ~TcpProxy() override;

  // Binds the forwarding port; `target` is an "ip:port".
  bool OpenForwarding(const std::string& target, Error* error);
  // The bound "ip:port" that clients connect to.
  std::string forwarding_address() const;

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  friend class ProxyConnection;

  // Listens, unless it does.
  bool Reopen(Error* error);
  void Accept();
  void Cut();

  const ProxySettings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  // Where it listens; the port is the bound one once it was open.
  boost::asio::ip::tcp::endpoint listen_endpoint_;
  boost::asio::ip::tcp::endpoint target_endpoint_;
  ProxyFaults faults_;
  // Every open connection; one leaves when both its ends are closed.
  std::set<std::shared_ptr<ProxyConnection>> connections_;
  int64_t accepted_ = 0;
  int64_t bytes_ = 0;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_TCP_PROXY_H_
