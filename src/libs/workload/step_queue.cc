// Groups of steps that compete, and the order of accounts within a group.
#include "workload/step_queue.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "workload/cluster_capacity.h"

namespace thornplank {
namespace {

WallTime EarliestStart(const ReadyStep& step) {
  return step.job->spec.earliest_start(step.ref.occurrence);
}

bool ComesEarlierInAccount(const ReadyStep* a, const ReadyStep* b) {
  return std::make_tuple(a->timeliness, a->job->spec.accepted) <
         std::make_tuple(b->timeliness, b->job->spec.accepted);
}

}  // namespace

bool StepQueue::IsEarlier::operator()(const Key& a, const Key& b) const {
  ++*comparisons;
  const auto fields = [](const Key& key) {
    return std::make_tuple(key.guarantee, !key.starved, key.share, key.oldest,
                           key.lane);
  };
  return fields(a) < fields(b);
}

StepQueue::StepQueue(const std::vector<ReadyStep>& steps, AccountShares* shares,
                     Settings settings)
    : shares_(shares),
      settings_(std::move(settings)),
      lanes_(IsEarlier{&comparisons_}) {
  SortIntoGroups(steps);
}

void StepQueue::SortIntoGroups(const std::vector<ReadyStep>& steps) {
  // Steps of services that are not shared come before those of shared ones.
  constexpr int64_t kNotShared = -1;
  struct Entry {
    int priority = 0;
    int64_t service = kNotShared;
    const ReadyStep* step = nullptr;
  };
  std::vector<Entry> entries;
  entries.reserve(steps.size());
  for (const ReadyStep& step : steps) {
    Entry entry{step.priority(), kNotShared, &step};
    if (shares_ != nullptr && settings_.services.Contains(step.service())) {
      const ServiceAccount both =
          shares_->Include(step.service(), step.job->spec.account);
      entry.service = static_cast<int64_t>(both.service);
    }
    entries.push_back(entry);
  }
  std::stable_sort(entries.begin(), entries.end(),
                   [](const Entry& a, const Entry& b) {
                     return std::make_tuple(a.priority, a.service) <
                            std::make_tuple(b.priority, b.service);
                   });
  order_.reserve(entries.size());
  for (size_t i = 0; i < entries.size(); ++i) {
    const bool continues = i > 0 &&
                           entries[i].priority == entries[i - 1].priority &&
                           entries[i].service == entries[i - 1].service;
    if (!continues) {
      groups_.push_back({entries[i].service != kNotShared, i, i});
    }
    groups_.back().end = i + 1;
    order_.push_back(entries[i].step);
  }
}

const ReadyStep* StepQueue::Next() {
  while (position_ == end_ && lanes_.empty()) {
    if (next_group_ == groups_.size()) return nullptr;
    EnterGroup();
  }
  if (position_ < end_) return order_[position_++];
  const size_t number = lanes_.begin()->lane;
  lanes_.erase(lanes_.begin());
  Lane& lane = lane_table_[number];
  lane.position = lanes_.end();
  const ReadyStep* step = lane.steps[lane.next++];
  Enqueue(number);
  return step;
}

void StepQueue::EnterGroup() {
  const Group& group = groups_[next_group_++];
  lane_table_.clear();
  lane_of_account_.clear();
  if (group.shared) {
    FillLanes(group);
  } else {
    position_ = group.begin;
    end_ = group.end;
  }
}

void StepQueue::FillLanes(const Group& group) {
  for (size_t i = group.begin; i < group.end; ++i) {
    const ReadyStep* step = order_[i];
    const ServiceAccount account =
        *shares_->Find(step->service(), step->job->spec.account);
    const auto [it, is_new] =
        lane_of_account_.try_emplace(account.account, lane_table_.size());
    if (is_new) {
      lane_table_.emplace_back();
      lane_table_.back().account = account;
    }
    lane_table_[it->second].steps.push_back(step);
  }
  for (size_t number = 0; number < lane_table_.size(); ++number) {
    Lane& lane = lane_table_[number];
    std::stable_sort(lane.steps.begin(), lane.steps.end(),
                     ComesEarlierInAccount);
    lane.oldest.resize(lane.steps.size());
    WallTime oldest = WallTime::max();
    for (size_t i = lane.steps.size(); i-- > 0;) {
      oldest = std::min(oldest, EarliestStart(*lane.steps[i]));
      lane.oldest[i] = oldest;
    }
    Enqueue(number);
  }
}

void StepQueue::Enqueue(size_t lane) {
  Lane& entry = lane_table_[lane];
  entry.position = lanes_.end();
  if (entry.next == entry.steps.size()) return;
  entry.position = lanes_.insert(KeyOf(lane)).first;
}

StepQueue::Key StepQueue::KeyOf(size_t lane) const {
  const Lane& entry = lane_table_[lane];
  const ReadyStep& step = *entry.steps[entry.next];
  Key key;
  key.lane = lane;
  key.oldest = entry.oldest[entry.next];
  key.share = shares_->WeightedShare(entry.account);
  if (step.urgent()) {
    key.guarantee = shares_->UseWith(entry.account, ReservedFor(*step.spec),
                                     static_cast<int64_t>(step.waiting.size()));
  }
  key.starved = settings_.now - key.oldest > settings_.max_share_wait &&
                shares_->Runs(entry.account, step.priority()) == 0;
  if (key.starved) key.share = 0;
  return key;
}

void StepQueue::OnSharesChanged(const std::string& service,
                                const std::string& account) {
  if (lane_table_.empty()) return;
  const std::optional<ServiceAccount> both = shares_->Find(service, account);
  if (!both) return;
  const auto lane = lane_of_account_.find(both->account);
  if (lane == lane_of_account_.end()) return;
  const auto position = lane_table_[lane->second].position;
  if (position == lanes_.end()) return;
  lanes_.erase(position);
  Enqueue(lane->second);
}

}  // namespace thornplank
