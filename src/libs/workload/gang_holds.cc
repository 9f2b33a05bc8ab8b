// Finds the places where a gang can start soonest.
#include "workload/gang_holds.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "workload/run_forecast.h"

namespace thornplank {
namespace {

// More than any difference in fit, less than the difference between a fast and
// a slow worker.
constexpr int64_t kHoldPreference = int64_t{1} << 20;

// Whether one more task fits than `tasks`. Cheaper than a division for each
// resource.
bool FitsOneMore(const Resources& need, int64_t tasks, const Resources& room) {
  const auto fits = [tasks](int64_t each, int64_t all) {
    return each <= 0 || each * (tasks + 1) <= all;
  };
  return fits(need.accelerators, room.accelerators) &&
         fits(need.cpu_millis, room.cpu_millis) &&
         fits(need.memory_mb, room.memory_mb);
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

int64_t GangHold::borrower_count() const {
  int64_t count = 0;
  for (const Place& place : places) {
    count += static_cast<int64_t>(place.borrowers.size());
  }
  return count;
}

int64_t GangHold::lent_accelerators() const {
  int64_t lent = 0;
  for (const Place& place : places) {
    for (const TrackedRun* run : place.borrowers) {
      lent += run->profile.need.accelerators;
    }
  }
  return lent;
}

bool GangHolds::IsBorrower(const ReadyStep& step) {
  return !step.spec->gang && step.spec->checkpointable &&
         !step.spec->long_running;
}

bool GangHolds::MayConsider(const std::string& service) const {
  const auto use = services_.find(service);
  return use == services_.end() || use->second.considered < kMaxHoldsPerService;
}

bool GangHolds::Consider(const HoldRequest& request,
                         std::vector<Eviction>* returns) {
  const ReadyStep& step = *request.step;
  ++services_[step.service()].considered;
  if (inputs_.for_guarantees) {
    // The room is due however far away it is.
    Chosen soonest = FindSoonest(request, Source::kBoth, Duration::max());
    if (!soonest.found) return false;
    Hold(request, std::move(soonest), Source::kBoth);
    return true;
  }
  const Duration horizon = kHoldHorizon + request.waited / 2;
  const double max_loss = WorkOf(step) * kMaxLossShare;
  Source source = max_loss > 0 ? Source::kBoth : Source::kEndings;
  Chosen chosen = FindSoonest(request, source, horizon);
  if (chosen.found && chosen.loss > max_loss) {
    source = Source::kEndings;
    chosen = FindSoonest(request, source, horizon);
  }
  if (!chosen.found) return false;
  // Runs that are overdue are forecast to end at once, again and again. A gang
  // that has waited does not rely on them where stops would do.
  const bool is_near = chosen.in <= inputs_.stop_time;
  const bool relies_on_stops =
      chosen.loss > 0 || request.waited >= kHoldHorizon;
  if (source == Source::kBoth && is_near && relies_on_stops) {
    const Chosen lent = FindSoonest(request, Source::kLent, inputs_.stop_time);
    const bool worthwhile =
        lent.found && lent.loss > 0 && lent.loss <= max_loss;
    if (worthwhile) {
      for (const GangHold::Place& place : lent.places) {
        returns->push_back({place.worker, place.tasks, {}, place.borrowers});
      }
      return true;
    }
  }
  Hold(request, std::move(chosen), source);
  return true;
}

// Of a gang whose estimate cannot be used, no work is known.
double GangHolds::WorkOf(const ReadyStep& step) const {
  if (!IsUsableEstimate(step.spec->estimate)) return 0;
  return Seconds(step.spec->estimate) *
         static_cast<double>(step.waiting.size()) *
         static_cast<double>(Weight(step.spec->need));
}

const GangHolds::Range& GangHolds::EndingsOn(size_t worker) {
  if (ranges_.empty()) {
    ranges_.resize(inputs_.capacity->workers().size());
    endings_.reserve(ranges_.size());
  }
  Range& range = ranges_[worker];
  if (range.begin >= 0) return range;
  range.begin = static_cast<int>(endings_.size());
  for (const auto& [task, run] :
       inputs_.capacity->worker(worker).tracker->runs()) {
    const RunProfile& profile = run.profile;
    Ending ending;
    ending.stopping = run.stop_wanted;
    ending.in = ForecastRemaining(run, inputs_.now);
    if (ending.stopping) {
      ending.in = std::min<Duration>(ending.in, inputs_.stop_time);
    }
    ending.need = profile.need;
    ending.priority = profile.priority;
    ending.borrows =
        !profile.long_running &&
        (inputs_.for_guarantees || (!profile.gang && profile.checkpointable));
    ending.run = &run;
    endings_.push_back(ending);
  }
  range.end = static_cast<int>(endings_.size());
  return range;
}

bool GangHolds::IsLendable(const ReadyStep& step, const Ending& ending) const {
  return ending.borrows && !ending.stopping &&
         ending.priority > step.priority();
}

bool GangHolds::ToRelease(const ReadyStep& step, const Ending& ending,
                          Source source, Duration horizon,
                          Release* release) const {
  const bool stopped =
      ending.stopping || (!inputs_.stopped->empty() &&
                          inputs_.stopped->count(ending.run->task) > 0);
  release->ending = &ending;
  release->lent = false;
  release->loss = 0;
  release->in = ending.in;
  if (stopped) {
    release->in = std::min<Duration>(ending.in, inputs_.stop_time);
  } else if (IsLendable(step, ending) &&
             (source == Source::kLent ||
              (source == Source::kBoth && ending.in > inputs_.stop_time))) {
    release->in = inputs_.stop_time;
    release->lent = true;
    const Duration lost =
        ending.run->unsaved_work(inputs_.now) + inputs_.restart_cost;
    release->loss = Seconds(lost) * static_cast<double>(Weight(ending.need));
  } else if (source == Source::kLent) {
    return false;
  }
  return release->in <= horizon;
}

Resources GangHolds::Unclaimed(size_t worker) const {
  Resources unclaimed = inputs_.capacity->worker(worker).free;
  for (int i = FirstPortion(worker); i >= 0; i = PortionAt(i).next) {
    unclaimed -= PortionAt(i).amount;
  }
  return unclaimed;
}

int64_t GangHolds::TasksWithin(const HoldRequest& request, size_t worker,
                               Source source, Duration horizon) {
  const ReadyStep& step = *request.step;
  Resources available = Unclaimed(worker);
  const Range range = EndingsOn(worker);
  for (int i = range.begin; i < range.end; ++i) {
    const Ending& ending = endings_[static_cast<size_t>(i)];
    Release release;
    if (!ToRelease(step, ending, source, horizon, &release)) continue;
    available += ending.need;
  }
  const auto members = static_cast<int64_t>(step.waiting.size());
  return ReservedFor(*step.spec).TimesIn(available, members);
}

void GangHolds::CollectReleases(const ReadyStep& step, size_t worker,
                                Source source, Duration horizon) {
  releases_.clear();
  const Range range = EndingsOn(worker);
  for (int i = range.begin; i < range.end; ++i) {
    Release release;
    const Ending& ending = endings_[static_cast<size_t>(i)];
    if (!ToRelease(step, ending, source, horizon, &release)) continue;
    releases_.push_back(release);
  }
  std::sort(releases_.begin(), releases_.end(),
            [](const Release& a, const Release& b) {
              return std::tie(a.in, a.loss, a.ending) <
                     std::tie(b.in, b.loss, b.ending);
            });
}

void GangHolds::AddOffers(const HoldRequest& request, size_t index,
                          Source source, Duration horizon) {
  const ReadyStep& step = *request.step;
  const WorkerCapacity& worker = inputs_.capacity->worker(index);
  const Resources need = ReservedFor(*step.spec);
  const int64_t limit =
      std::min(static_cast<int64_t>(step.waiting.size()),
               inputs_.capacity->RemainingTaskLimit(step, *worker.tracker));
  CollectReleases(step, index, source, horizon);
  Resources available = Unclaimed(index);
  int64_t tasks = 0;
  Offer next;
  next.worker = index;
  next.empty_now = inputs_.capacity->IsHeadroom(worker);
  const auto add_gain = [&] {
    int64_t now = tasks;
    while (now < limit && FitsOneMore(need, now, available)) ++now;
    if (now <= tasks) return;
    next.gain = now - tasks;
    tasks = now;
    next.price =
        std::max(next.price, next.loss / static_cast<double>(next.gain));
    offers_.push_back(next);
    next.loss = 0;
  };
  add_gain();
  for (const Release& release : releases_) {
    if (tasks >= limit) break;
    available += release.ending->need;
    next.in = release.in;
    next.loss += release.loss;
    ++next.releases;
    add_gain();
  }
}

void GangHolds::AddCandidate(const HoldRequest& request, size_t index,
                             Source source, Duration horizon) {
  const ReadyStep& step = *request.step;
  const WorkerCapacity& worker = inputs_.capacity->worker(index);
  if (!worker.usable) return;
  ++visits_;
  const int64_t tasks = TasksWithin(request, index, source, horizon);
  if (tasks == 0 || !inputs_.capacity->MayUse(step, worker)) return;
  if (worker.tracker->room().IsOverdrawn()) return;
  const bool near = worker.entry().rack == step.spec->data_rack;
  if (request.near_only && !near) return;
  candidates_.push_back({index, request.one_rack ? worker.rack : 0, tasks});
}

void GangHolds::CollectCandidates(const HoldRequest& request, Source source,
                                  Duration horizon) {
  candidates_.clear();
  candidates_horizon_ = horizon;
  if (!request.among.empty()) {
    for (const size_t worker : request.among) {
      AddCandidate(request, worker, source, horizon);
    }
  } else {
    const size_t count = inputs_.capacity->workers().size();
    for (size_t worker = 0; worker < count; ++worker) {
      AddCandidate(request, worker, source, horizon);
    }
  }
  if (!request.one_rack) return;
  std::stable_sort(
      candidates_.begin(), candidates_.end(),
      [](const Candidate& a, const Candidate& b) { return a.group < b.group; });
}

GangHolds::Chosen GangHolds::FindSoonest(const HoldRequest& request,
                                         Source source, Duration horizon) {
  CollectCandidates(request, source, horizon);
  Chosen best;
  for (size_t begin = 0; begin < candidates_.size();) {
    size_t end = begin;
    while (end < candidates_.size() &&
           candidates_[end].group == candidates_[begin].group) {
      ++end;
    }
    Chosen chosen = FindInGroup(request, source, horizon, begin, end);
    begin = end;
    if (!chosen.found) continue;
    const bool is_better = !best.found || chosen.in < best.in ||
                           (chosen.in == best.in && chosen.loss < best.loss);
    if (!is_better) continue;
    best = std::move(chosen);
    // Other groups matter only if they are no later.
    horizon = best.in;
  }
  if (best.found) NameBorrowers(request, source, &best);
  return best;
}

GangHolds::Chosen GangHolds::FindInGroup(const HoldRequest& request,
                                         Source source, Duration horizon,
                                         size_t begin, size_t end) {
  const auto members = static_cast<int64_t>(request.step->waiting.size());
  int64_t tasks = 0;
  for (size_t i = begin; i < end; ++i) {
    tasks += candidates_[i].tasks;
  }
  if (tasks < members) return {};
  // The horizon may have become shorter since the candidates were collected.
  if (horizon < candidates_horizon_) {
    tasks = 0;
    for (size_t i = begin; i < end; ++i) {
      Candidate& candidate = candidates_[i];
      candidate.tasks = TasksWithin(request, candidate.worker, source, horizon);
      tasks += candidate.tasks;
    }
    if (tasks < members) return {};
  }
  offers_.clear();
  for (size_t i = begin; i < end; ++i) {
    if (candidates_[i].tasks == 0) continue;
    AddOffers(request, candidates_[i].worker, source, horizon);
  }
  // The fewer runs an offer depends on, the less uncertain it is.
  std::sort(offers_.begin(), offers_.end(), [](const Offer& a, const Offer& b) {
    return std::tie(a.in, a.price, a.releases, a.worker) <
           std::tie(b.in, b.price, b.releases, b.worker);
  });
  return TakeOffers(request);
}

GangHolds::Chosen GangHolds::TakeOffers(const HoldRequest& request) const {
  Chosen chosen;
  auto needed = static_cast<int64_t>(request.step->waiting.size());
  int64_t empty_workers = request.empty_workers;
  for (const Offer& offer : offers_) {
    if (needed <= 0) break;
    auto& places = chosen.places;
    const auto place = std::find_if(places.begin(), places.end(),
                                    [&offer](const GangHold::Place& known) {
                                      return known.worker == offer.worker;
                                    });
    // A worker counts once, however many offers of it are taken.
    const bool is_new_empty = offer.empty_now && place == places.end();
    if (is_new_empty && empty_workers-- <= 0) continue;
    const int64_t tasks = std::min(offer.gain, needed);
    needed -= tasks;
    chosen.in = offer.in;
    chosen.loss += offer.loss;
    if (place != places.end()) {
      place->tasks += tasks;
    } else {
      places.push_back({offer.worker, tasks, {}, {}});
    }
  }
  chosen.found = needed == 0;
  return chosen;
}

void GangHolds::NameBorrowers(const HoldRequest& request, Source source,
                              Chosen* chosen) {
  if (chosen->loss <= 0) return;
  chosen->loss = 0;
  const Resources need = ReservedFor(*request.step->spec);
  for (GangHold::Place& place : chosen->places) {
    CollectReleases(*request.step, place.worker, source, chosen->in);
    Resources available = Unclaimed(place.worker);
    for (const Release& release : releases_) {
      if (need.TimesIn(available, place.tasks) >= place.tasks) break;
      available += release.ending->need;
      if (!release.lent) continue;
      place.borrowers.push_back(release.ending->run);
      chosen->loss += release.loss;
    }
  }
}

void GangHolds::Hold(const HoldRequest& request, Chosen chosen, Source source) {
  const ReadyStep& step = *request.step;
  const Resources need = ReservedFor(*step.spec);
  const std::string& service = step.service();
  ServiceUse& use = services_[service];
  const Resources limit =
      ShareOf(inputs_.capacity->TotalCapacity(service), inputs_.max_held_share);
  if (first_portions_.empty()) {
    first_portions_.assign(inputs_.capacity->workers().size(), -1);
  }
  GangHold hold;
  hold.step = request.step;
  hold.ready_at = inputs_.now + chosen.in;
  hold.waited = request.waited;
  hold.places = std::move(chosen.places);
  std::sort(hold.places.begin(), hold.places.end(),
            [](const GangHold::Place& a, const GangHold::Place& b) {
              return a.worker < b.worker;
            });
  for (GangHold::Place& place : hold.places) {
    const Resources amount = need * place.tasks;
    // Negative where the capacity becomes free by itself.
    Resources missing = amount;
    for (int i = FirstPortion(place.worker); i >= 0; i = PortionAt(i).next) {
      missing += PortionAt(i).amount;
      missing -= PortionAt(i).held_free;
    }
    const Range range = EndingsOn(place.worker);
    for (int i = range.begin; i < range.end; ++i) {
      const Ending& ending = endings_[static_cast<size_t>(i)];
      Release release;
      if (!ToRelease(step, ending, source, chosen.in, &release)) continue;
      // A run at the lower bound of its forecast may be long overdue; what it
      // uses does not stand in for capacity that is free now.
      if (release.in <= kMinForecast) continue;
      missing -= ending.need;
    }
    place.held_free = ElementwiseMin(
        ElementwiseMax(missing, Resources()),
        ElementwiseMax(inputs_.capacity->worker(place.worker).free,
                       Resources()));
    const Resources sum = use.held_free + place.held_free;
    if (!sum.FitsInto(limit)) place.held_free = Resources();
    use.held_free += place.held_free;
    int& first = first_portions_[place.worker];
    portions_.push_back({holds_.size(), amount, place.held_free, first});
    first = static_cast<int>(portions_.size()) - 1;
  }
  holds_.push_back(std::move(hold));
}

bool GangHolds::EndsBefore(const ReadyStep& step, const GangHold& hold) const {
  const Milliseconds estimate = step.spec->estimate;
  if (hold.waited > kMaxWaitBesideShortSteps) return false;
  return IsUsableEstimate(estimate) && !step.spec->long_running &&
         inputs_.now + estimate <= hold.ready_at;
}

bool GangHolds::Binds(const GangHold& hold, const ReadyStep& step) const {
  const ReadyStep& owner = *hold.step;
  if (owner.priority() > step.priority()) return false;
  if (owner.priority() == step.priority()) {
    const bool own = owner.job->spec.account == step.job->spec.account;
    if (own || !inputs_.for_guarantees) return false;
  }
  return !EndsBefore(step, hold);
}

Resources GangHolds::HeldFrom(const ReadyStep& step, size_t worker) const {
  Resources held;
  for (int i = FirstPortion(worker); i >= 0; i = PortionAt(i).next) {
    const Portion& portion = PortionAt(i);
    if (!Binds(holds_[portion.hold], step)) continue;
    held += portion.held_free;
  }
  return held;
}

bool GangHolds::Restrict(const ReadyStep& step,
                         std::vector<Slot>* slots) const {
  if (holds_.empty()) return false;
  if (step.urgent() && !inputs_.for_guarantees) return false;
  const bool borrower = IsBorrower(step) && !step.urgent();
  const bool single = !step.spec->gang;
  bool restricted = false;
  for (Slot& slot : *slots) {
    if (FirstPortion(slot.worker) < 0) continue;
    if (!borrower) {
      const Resources held = HeldFrom(step, slot.worker);
      if (!held.IsZero() && inputs_.capacity->Shrink(step, held, &slot)) {
        restricted = true;
      }
    }
    if (single) slot.score += borrower ? -kHoldPreference : kHoldPreference;
  }
  if (!restricted) return false;
  slots->erase(std::remove_if(slots->begin(), slots->end(),
                              [](const Slot& slot) { return slot.tasks <= 0; }),
               slots->end());
  return true;
}

int64_t GangHolds::EmptyWorkersHeldFrom(const ReadyStep& step) const {
  if (step.urgent() || IsBorrower(step)) return 0;
  std::set<size_t> empty;
  for (const GangHold& hold : holds_) {
    if (!Binds(hold, step)) continue;
    for (const GangHold::Place& place : hold.places) {
      if (place.held_free.IsZero()) continue;
      if (inputs_.capacity->IsHeadroom(
              inputs_.capacity->worker(place.worker))) {
        empty.insert(place.worker);
      }
    }
  }
  return static_cast<int64_t>(empty.size());
}

int64_t GangHolds::held_free_accelerators() const {
  int64_t held = 0;
  for (const auto& [service, use] : services_) {
    held += use.held_free.accelerators;
  }
  return held;
}

}  // namespace thornplank
