// Helpers for tests with several meshes on real sockets in one process.
#ifndef THORNPLANK_TESTS_MESH_FIXTURE_H_
#define THORNPLANK_TESTS_MESH_FIXTURE_H_

#include <doctest/doctest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/time.h"
#include "protocol/peer_mesh.h"

namespace thornplank {

// Polls until `condition` holds; returns false after about ten seconds. It
// counts polls instead of reading a clock, so that time during which this
// process was paused does not count.
template <typename Condition>
bool WaitUntil(Condition condition) {
  constexpr int kPolls = 5000;
  for (int i = 0; i < kPolls; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(Milliseconds(2));
  }
  return false;
}

inline PeerMeshSettings FastSettings(const std::string& name) {
  PeerMeshSettings settings;
  settings.name = name;
  settings.incarnation = name + "-1";
  settings.failure_domain = "domain-" + name;
  settings.listen = "127.0.0.1:0";
  settings.shared_secret = "secret";
  settings.reconnect_delay = Milliseconds(20);
  settings.max_reconnect_delay = Milliseconds(100);
  settings.silence_timeout = Milliseconds(400);
  return settings;
}

// Runs an io_context on three threads until the end of the test.
class IoThreads {
 public:
  IoThreads() : work_(io_.get_executor()) {
    for (int i = 0; i < 3; ++i) {
      threads_.emplace_back([this] { io_.run(); });
    }
  }
  ~IoThreads() { Join(); }

  // Ends the threads; a second call does nothing.
  void Join() {
    io_.stop();
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }

  boost::asio::io_context& io() { return io_; }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::thread> threads_;
};

// Joins the threads when it goes out of scope. Declare it after all objects
// that handlers use, so that the threads end before these are destroyed, even
// if a REQUIRE fails.
class JoinAtExit {
 public:
  explicit JoinAtExit(IoThreads& threads) : threads_(threads) {}
  ~JoinAtExit() { threads_.Join(); }
  JoinAtExit(const JoinAtExit&) = delete;
  JoinAtExit& operator=(const JoinAtExit&) = delete;

 private:
  IoThreads& threads_;
};

inline std::unique_ptr<PeerMesh> StartMesh(boost::asio::io_context& io,
                                           const PeerMeshSettings& settings) {
  auto mesh = std::make_unique<PeerMesh>(io, settings);
  Error error;
  REQUIRE_MESSAGE(mesh->Start(&error), error.ToString());
  return mesh;
}

inline bool HasPeer(const PeerMesh& mesh, const std::string& name,
                    const std::string& incarnation = "") {
  for (const PeerIdentity& peer : mesh.connected_peers()) {
    if (peer.name != name) continue;
    return incarnation.empty() || peer.incarnation == incarnation;
  }
  return false;
}

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_MESH_FIXTURE_H_
