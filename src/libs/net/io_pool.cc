// Runs one io_context on several threads.
#include "net/io_pool.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

namespace thornplank {

class IoPool::Impl {
 public:
  explicit Impl(int threads)
      : thread_count_(std::max(threads, 1)),
        io_(thread_count_),
        work_(io_.get_executor()) {}

  void Start() {
    if (!threads_.empty()) return;
    for (int i = 0; i < thread_count_; ++i) {
      threads_.emplace_back([this] { io_.run(); });
    }
  }

  void Stop() {
    io_.stop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  boost::asio::io_context& io() { return io_; }

 private:
  const int thread_count_;
  boost::asio::io_context io_;
  // Keeps run() from returning while there is nothing to do.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::thread> threads_;
};

IoPool::IoPool(int threads) : impl_(std::make_unique<Impl>(threads)) {}
IoPool::~IoPool() { Stop(); }
void IoPool::Start() { impl_->Start(); }
void IoPool::Stop() { impl_->Stop(); }
boost::asio::io_context& IoPool::io() { return impl_->io(); }

}  // namespace thornplank
