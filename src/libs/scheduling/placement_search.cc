#include "scheduling/placement_search.h"

#include <algorithm>

namespace thornplank {
namespace {

struct Candidate {
  WorkerIndex worker = kNoWorker;
  int slots = 0;
  int leftover = 0;
  int room = 0;
  double cost = 0;
};

// The members of a gang that a rack can take, and the cost of that.
struct RackOffer {
  int rack = 0;
  int members = 0;
  double cost = 0;
  // Slots of the rack that remain unused.
  int spare_slots = 0;
  Placement share;
};

bool CheaperWorker(const Candidate& a, const Candidate& b) {
  if (a.cost != b.cost) return a.cost < b.cost;
  if (a.leftover != b.leftover) return a.leftover < b.leftover;
  if (a.room != b.room) return a.room < b.room;
  return a.worker < b.worker;
}

std::vector<Candidate> CandidatesInRack(const ClusterModel& cluster, int rack,
                                        const Shape& shape,
                                        const AcceleratorsByWorker& room,
                                        const PlacementCost& cost) {
  std::vector<Candidate> candidates;
  for (const WorkerIndex worker : cluster.rack(rack)) {
    const int slots = room[worker] / shape.accelerators_per_member;
    if (slots <= 0) continue;
    const int used = std::min(slots, shape.members);
    const int leftover = room[worker] - used * shape.accelerators_per_member;
    candidates.push_back(
        {worker, slots, leftover, room[worker], cost.WorkerCost(worker)});
  }
  return candidates;
}

// The cheapest placement of at most `wanted` members in `rack`.
RackOffer MakeRackOffer(const ClusterModel& cluster, int rack, int wanted,
                        const Shape& shape, const AcceleratorsByWorker& room,
                        const PlacementCost& cost) {
  std::vector<Candidate> candidates =
      CandidatesInRack(cluster, rack, shape, room, cost);
  std::sort(candidates.begin(), candidates.end(), CheaperWorker);
  RackOffer offer;
  offer.rack = rack;
  for (const Candidate& candidate : candidates) {
    const int members = std::min(candidate.slots, wanted - offer.members);
    offer.spare_slots += candidate.slots - members;
    if (members <= 0) continue;
    offer.share.push_back({candidate.worker, members});
    offer.members += members;
    offer.cost += candidate.cost * members;
  }
  if (offer.members == 0) return offer;
  offer.cost +=
      cost.RackCost(rack, offer.share, shape.accelerators_per_member, room);
  return offer;
}

bool CheaperSingleRackOffer(const RackOffer& a, const RackOffer& b) {
  if (a.cost != b.cost) return a.cost < b.cost;
  if (a.spare_slots != b.spare_slots) return a.spare_slots < b.spare_slots;
  return a.rack < b.rack;
}

bool CheaperPerMember(const RackOffer& a, const RackOffer& b) {
  const double cost_a = a.cost / a.members;
  const double cost_b = b.cost / b.members;
  if (cost_a != cost_b) return cost_a < cost_b;
  if (a.members != b.members) return a.members > b.members;
  return a.rack < b.rack;
}

// Fills racks in order of cost per member until all members are placed.
std::optional<RackOffer> SpreadOverRacks(const ClusterModel& cluster,
                                         std::vector<RackOffer> offers,
                                         const Shape& shape,
                                         const AcceleratorsByWorker& room,
                                         const PlacementCost& cost) {
  std::sort(offers.begin(), offers.end(), CheaperPerMember);
  RackOffer spread;
  for (RackOffer& offer : offers) {
    const int missing = shape.members - spread.members;
    if (offer.members > missing) {
      offer = MakeRackOffer(cluster, offer.rack, missing, shape, room, cost);
    }
    spread.share.insert(spread.share.end(), offer.share.begin(),
                        offer.share.end());
    spread.members += offer.members;
    spread.cost += offer.cost;
    if (spread.members == shape.members) return spread;
  }
  return std::nullopt;
}

std::vector<RackOffer> MakeRackOffers(const ClusterModel& cluster,
                                      const Shape& shape,
                                      const AcceleratorsByWorker& room,
                                      const PlacementCost& cost) {
  std::vector<RackOffer> offers;
  for (int rack = 0; rack < cluster.rack_count(); ++rack) {
    RackOffer offer =
        MakeRackOffer(cluster, rack, shape.members, shape, room, cost);
    if (offer.members > 0) offers.push_back(std::move(offer));
  }
  return offers;
}

// The cheapest offer of a single rack that holds all members, or nullptr.
const RackOffer* CheapestSingleRackOffer(const std::vector<RackOffer>& offers,
                                         int members) {
  const RackOffer* best = nullptr;
  for (const RackOffer& offer : offers) {
    if (offer.members < members) continue;
    if (!best || CheaperSingleRackOffer(offer, *best)) best = &offer;
  }
  return best;
}

}  // namespace

double NoPlacementCost::WorkerCost(WorkerIndex) const { return 0; }

double NoPlacementCost::RackCost(int, const Placement&, int,
                                 const AcceleratorsByWorker&) const {
  return 0;
}

std::optional<Placement> FindPlacement(const ClusterModel& cluster,
                                       const Shape& shape,
                                       const AcceleratorsByWorker& room,
                                       const PlacementCost& cost) {
  if (shape.members <= 0 || shape.accelerators_per_member <= 0) {
    return std::nullopt;
  }
  std::vector<RackOffer> offers = MakeRackOffers(cluster, shape, room, cost);
  const RackOffer* single = CheapestSingleRackOffer(offers, shape.members);
  if (shape.adjacency == Adjacency::kRack) {
    return single ? std::make_optional(single->share) : std::nullopt;
  }
  // One member cannot be spread.
  if (single && (single->cost <= 0 || shape.members == 1)) return single->share;
  const std::optional<RackOffer> spread =
      SpreadOverRacks(cluster, offers, shape, room, cost);
  if (!spread) return std::nullopt;
  return single && single->cost <= spread->cost ? single->share : spread->share;
}

bool Fits(const ClusterModel& cluster, const Shape& shape,
          const AcceleratorsByWorker& room) {
  const bool one_rack = shape.adjacency == Adjacency::kRack;
  int slots = 0;
  for (int rack = 0; rack < cluster.rack_count(); ++rack) {
    if (one_rack) slots = 0;
    for (const WorkerIndex worker : cluster.rack(rack)) {
      slots += std::max(0, room[worker]) / shape.accelerators_per_member;
    }
    if (slots >= shape.members) return true;
  }
  return false;
}

std::vector<WorkerIndex> MemberWorkers(const Placement& placement) {
  std::vector<WorkerIndex> workers;
  for (const WorkerShare& share : placement) {
    workers.insert(workers.end(), share.members, share.worker);
  }
  return workers;
}

}  // namespace thornplank
