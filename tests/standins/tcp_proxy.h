// TCP proxy that can cut connections and hold, delay or discard their bytes.
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
  // Address of the control interface.
  std::string control;
  // "ip:port", or the name of a role of this process.
  std::string target;
};

class ProxyConnection;

// Faults that apply to all connections.
struct ProxyFaults {
  bool cut = false;
  bool freeze = false;
  Milliseconds delay{0};
};

// The listener of the base class serves only the control interface.
class TcpProxy : public Role {
 public:
  TcpProxy(const boost::asio::any_io_executor& executor,
           ProxySettings settings);
  ~TcpProxy() override;

  // Starts to forward connections to `target`, an "ip:port".
  bool OpenForwarding(const std::string& target, Error* error);
  // The bound "ip:port" that clients connect to.
  std::string forwarding_address() const;

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  friend class ProxyConnection;

  // Opens the acceptor unless it is open.
  bool EnsureListening(Error* error);
  void Accept();
  // Stops listening and closes all connections.
  void Cut();

  const ProxySettings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  // Has the bound port, instead of 0, once the acceptor was opened. Later
  // openings use the same port.
  boost::asio::ip::tcp::endpoint listen_endpoint_;
  boost::asio::ip::tcp::endpoint target_endpoint_;
  ProxyFaults faults_;
  // All open connections; a connection removes itself when it closes.
  std::set<std::shared_ptr<ProxyConnection>> connections_;
  int64_t accepted_connections_ = 0;
  int64_t forwarded_bytes_ = 0;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_TCP_PROXY_H_
