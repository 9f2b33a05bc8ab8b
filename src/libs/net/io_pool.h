// An io_context with the threads that run it.
#ifndef THORNPLANK_NET_IO_POOL_H_
#define THORNPLANK_NET_IO_POOL_H_

#include <memory>

namespace boost::asio {
class io_context;
}

namespace thornplank {

class IoPool {
 public:
  // Threads start with Start; `threads` is at least 1.
  explicit IoPool(int threads);
  // Stops.
  ~IoPool();

  void Start();
  // Drops what has not run yet and joins the threads. Not from one of them.
  void Stop();

  // Lives as long as the pool, also after Stop.
  boost::asio::io_context& io();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_IO_POOL_H_
