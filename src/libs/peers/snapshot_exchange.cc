// Both sides of the "state-request" call.
#include "peers/snapshot_exchange.h"

#include <algorithm>
#include <utility>

#include "logging/events/membership_events.h"
#include "protocol/peer_mesh.h"

namespace thornplank {
namespace {

constexpr char kStateRequest[] = "state-request";
constexpr char kStep[] = "fetch snapshot";

}  // namespace

SnapshotExchange::SnapshotExchange(PeerMesh& mesh, Milliseconds timeout,
                                   std::function<Json()> offsets)
    : mesh_(mesh), timeout_(timeout), own_offsets_(std::move(offsets)) {}

void SnapshotExchange::RegisterHandlers() {
  mesh_.SetMessageHandler(kStateRequest, [weak = weak_from_this()](
                                             const PeerIdentity&,
                                             const Message& message,
                                             const PeerMesh::Reply& reply) {
    const auto self = weak.lock();
    if (!self || !reply) return;
    reply(self->MakeAnswer(StringField(message.body, "stream").value_or("")));
  });
}

void SnapshotExchange::AddSnapshotProducer(
    std::string name, MembershipManager::Producer produce) {
  producers_[std::move(name)] = std::move(produce);
}

void SnapshotExchange::Fetch(const std::string& stream, int64_t min_offset,
                             std::vector<std::string> peers,
                             MembershipManager::SnapshotCallback callback) {
  std::reverse(peers.begin(), peers.end());
  const auto request = std::make_shared<Request>();
  request->stream = stream;
  request->min_offset = min_offset;
  request->peers = std::move(peers);
  request->callback = std::move(callback);
  request->last_error = Error{kStep, "", "no peer has folded this stream"};
  AskNextPeer(request);
}

Json SnapshotExchange::MakeAnswer(const std::string& stream) const {
  const auto producer = producers_.find(stream);
  if (producer == producers_.end()) return {{"next_offset", 0}};
  // Read before the snapshot is made, so that the snapshot covers at least the
  // records before this offset.
  const int64_t next_offset = IntField(own_offsets_(), stream).value_or(0);
  return {{"next_offset", next_offset}, {"snapshot", producer->second()}};
}

void SnapshotExchange::AskNextPeer(const std::shared_ptr<Request>& request) {
  if (request->peers.empty()) {
    request->callback(std::nullopt, request->last_error);
    return;
  }
  const std::string peer = request->peers.back();
  request->peers.pop_back();
  mesh_.Call(
      peer, kStateRequest, {{"stream", request->stream}}, timeout_,
      [self = shared_from_this(), request, peer](std::optional<Json> answer,
                                                 const Error& call_error) {
        Error error = call_error;
        if (answer && self->AcceptAnswer(*request, peer, *answer, &error)) {
          request->callback(std::move((*answer)["snapshot"]), Error());
          return;
        }
        LogEvent(events::kSnapshotFetchFailed, error,
                 {{"stream", request->stream}});
        request->last_error = error;
        self->AskNextPeer(request);
      });
}

bool SnapshotExchange::AcceptAnswer(const Request& request,
                                    const std::string& peer, const Json& answer,
                                    Error* error) const {
  const int64_t next_offset = IntField(answer, "next_offset").value_or(0);
  if (!answer.contains("snapshot") || answer["snapshot"].is_null()) {
    SetError(error, kStep, peer, "it has no snapshot");
    return false;
  }
  if (next_offset < request.min_offset) {
    SetError(error, kStep, peer,
             "it has folded up to " + std::to_string(next_offset) +
                 " only, wanted are " + std::to_string(request.min_offset));
    return false;
  }
  LogEvent(events::kSnapshotFetched, {{"stream", request.stream},
                                      {"peer", peer},
                                      {"next_offset", next_offset}});
  return true;
}

}  // namespace thornplank
