// An io_context and the threads that run it.
#ifndef THORNPLANK_NET_IO_POOL_H_
#define THORNPLANK_NET_IO_POOL_H_

#include <memory>

namespace boost::asio {
class io_context;
}

namespace thornplank {

class IoPool {
 public:
  // The threads are started by Start. Values of `threads` below 1 count as 1.
  explicit IoPool(int threads);
  // Calls Stop.
  ~IoPool();

  void Start();
  // Discards handlers that have not run yet and joins the threads. Must not be
  // called from one of them.
  void Stop();

  // Valid as long as the pool, also after Stop.
  boost::asio::io_context& io();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_IO_POOL_H_
