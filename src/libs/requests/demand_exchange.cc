// A timer broadcasts this entry's demand when it has changed, and periodically
// otherwise.
#include "requests/demand_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <utility>

#include "protocol/peer_mesh.h"

namespace thornplank {
namespace {

constexpr char kDemandMessage[] = "demand";
constexpr char kAccountsField[] = "a";
// Service, account, queued, in flight.
constexpr size_t kRowSize = 4;

bool IsDemandRow(const Json& row) {
  return row.is_array() && row.size() == kRowSize && row[0].is_string() &&
         row[1].is_string() && row[2].is_number_integer() &&
         row[3].is_number_integer();
}

}  // namespace

Json EncodeDemand(const PeerDemand& demand) {
  Json rows = Json::array();
  for (const AccountDemand& account : demand.accounts) {
    rows.push_back(Json::array(
        {account.service, account.account, account.queued, account.in_flight}));
  }
  return {{kAccountsField, std::move(rows)}};
}

PeerDemand DecodeDemand(const std::string& entry, const Json& body) {
  PeerDemand demand;
  demand.entry = entry;
  const Json* rows = ArrayField(body, kAccountsField);
  if (rows == nullptr) return demand;
  for (const Json& row : *rows) {
    if (!IsDemandRow(row)) continue;
    demand.accounts.push_back({row[0].get<std::string>(),
                               row[1].get<std::string>(), row[2].get<int>(),
                               row[3].get<int>()});
  }
  return demand;
}

class DemandExchange::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, PeerMesh& mesh, Duration interval,
       Duration refresh_interval, std::function<PeerDemand()> own_demand,
       std::function<void(const PeerDemand&)> on_peer_demand)
      : mesh_(mesh),
        interval_(interval),
        refresh_interval_(refresh_interval),
        own_demand_(std::move(own_demand)),
        on_peer_demand_(std::move(on_peer_demand)),
        timer_(io) {}

  void Connect() {
    mesh_.SetMessageHandler(
        kDemandMessage,
        [weak = weak_from_this()](const PeerIdentity& from,
                                  const Message& message, PeerMesh::Reply) {
          if (auto self = weak.lock()) self->Receive(from, message);
        });
  }

  void Start() {
    std::lock_guard<std::mutex> lock(mutex_);
    running_ = true;
    Arm();
  }

  void Stop() {
    std::lock_guard<std::mutex> lock(mutex_);
    running_ = false;
    timer_.cancel();
  }

 private:
  void Receive(const PeerIdentity& from, const Message& message) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (!running_) return;
    }
    on_peer_demand_(DecodeDemand(from.name, message.body));
  }

  // Called with the mutex held.
  void Arm() {
    timer_.expires_after(interval_);
    timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& code) {
          if (code) return;
          if (auto self = weak.lock()) self->Send();
        });
  }

  void Send() {
    Json body = EncodeDemand(own_demand_());
    const Time now = std::chrono::steady_clock::now();
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (!running_) return;
      Arm();
      if (body == last_sent_ && now < last_sent_at_ + refresh_interval_) return;
      last_sent_ = body;
      last_sent_at_ = now;
    }
    mesh_.Broadcast(kDemandMessage, body);
  }

  PeerMesh& mesh_;
  const Duration interval_;
  const Duration refresh_interval_;
  const std::function<PeerDemand()> own_demand_;
  const std::function<void(const PeerDemand&)> on_peer_demand_;

  // Guards the members below. Neither callback runs while it is held.
  std::mutex mutex_;
  boost::asio::steady_timer timer_;
  bool running_ = false;
  Json last_sent_;
  Time last_sent_at_;
};

DemandExchange::DemandExchange(
    boost::asio::io_context& io, PeerMesh& mesh, Duration interval,
    Duration refresh_interval, std::function<PeerDemand()> own_demand,
    std::function<void(const PeerDemand&)> on_peer_demand)
    : impl_(std::make_shared<Impl>(io, mesh, interval, refresh_interval,
                                   std::move(own_demand),
                                   std::move(on_peer_demand))) {
  impl_->Connect();
}

DemandExchange::~DemandExchange() { Stop(); }

void DemandExchange::Start() { impl_->Start(); }

void DemandExchange::Stop() { impl_->Stop(); }

}  // namespace thornplank
