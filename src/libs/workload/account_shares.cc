// Weights, sums of use and shares.
#include "workload/account_shares.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

// An account without a guarantee weighs this part of the mean guarantee.
constexpr double kLeastWeightOfMean = 0.1;
// A guarantee that was mistyped must not take the whole service.
constexpr double kMaxWeightRatio = 1000;
constexpr char kOther[] = "other";

bool AreAlike(const RunProfile& a, const RunProfile& b) {
  return a.priority == b.priority && a.need == b.need && a.account == b.account;
}

double ShareOf(double used, double all) { return all > 0 ? used / all : 0; }

}  // namespace

int64_t CountGuaranteedAccounts(const Guarantees& guarantees) {
  return std::count_if(guarantees.begin(), guarantees.end(),
                       [](const auto& entry) { return entry.second > 0; });
}

void AccountShares::Amounts::Add(const Resources& each, double times) {
  const auto add = [times](int64_t amount, double* sum) {
    const double change = static_cast<double>(std::max<int64_t>(amount, 0));
    *sum = std::max(*sum + change * times, 0.0);
  };
  add(each.cpu_millis, &cpu_millis);
  add(each.memory_mb, &memory_mb);
  add(each.accelerators, &accelerators);
}

AccountShares::AccountShares(const Guarantees& guarantees) {
  double sum = 0;
  for (const auto& [name, guarantee] : guarantees) {
    sum += static_cast<double>(std::max<int64_t>(guarantee, 0));
  }
  const int64_t guaranteed = CountGuaranteedAccounts(guarantees);
  if (guaranteed > 0) {
    least_weight_ = sum / static_cast<double>(guaranteed) * kLeastWeightOfMean;
  }
  for (const auto& [name, guarantee] : guarantees) {
    Account& account = accounts_[NumberOfAccount(name)];
    account.guarantee = static_cast<double>(std::max<int64_t>(guarantee, 0));
    account.weight = std::clamp(account.guarantee, least_weight_,
                                least_weight_ * kMaxWeightRatio);
  }
}

size_t AccountShares::NumberOfService(const std::string& service) {
  for (size_t i = 0; i < services_.size(); ++i) {
    if (services_[i].name == service) return i;
  }
  services_.emplace_back();
  services_.back().name = service;
  return services_.size() - 1;
}

size_t AccountShares::NumberOfAccount(const std::string& account) {
  const auto [it, is_new] =
      account_numbers_.try_emplace(account, accounts_.size());
  if (is_new) {
    accounts_.emplace_back();
    accounts_.back().name = account;
    accounts_.back().weight = least_weight_;
  }
  return it->second;
}

void AccountShares::AddCapacity(size_t service, const Resources& capacity) {
  services_[service].capacity.Add(capacity, 1);
}

void AccountShares::AddRun(size_t service, const TrackedRun& run) {
  ++counted_runs_;
  if (run.stop_wanted) return;
  AddRuns(service, run.profile, 1);
}

// Runs of one job follow each other, so that most can be added together.
void AccountShares::AddWorker(const WorkerTracker& worker) {
  const size_t service = NumberOfService(worker.registration().service);
  AddCapacity(service, worker.registration().capacity);
  const RunProfile* alike = nullptr;
  int64_t count = 0;
  for (const auto& [task, run] : worker.runs()) {
    ++counted_runs_;
    if (run.stop_wanted) continue;
    if (alike != nullptr && AreAlike(*alike, run.profile)) {
      ++count;
      continue;
    }
    if (alike != nullptr) AddRuns(service, *alike, count);
    alike = &run.profile;
    count = 1;
  }
  if (alike != nullptr) AddRuns(service, *alike, count);
}

void AccountShares::AddRuns(size_t service, const RunProfile& profile,
                            int64_t runs) {
  Change({service, NumberOfAccount(profile.account)}, profile.priority,
         profile.need, runs);
}

ServiceAccount AccountShares::Include(const std::string& service,
                                      const std::string& account) {
  const ServiceAccount both{NumberOfService(service), NumberOfAccount(account)};
  UseOf(both).has_work = true;
  return both;
}

std::optional<ServiceAccount> AccountShares::Find(
    const std::string& service, const std::string& account) const {
  const auto number = account_numbers_.find(account);
  if (number == account_numbers_.end()) return std::nullopt;
  for (size_t i = 0; i < services_.size(); ++i) {
    if (services_[i].name == service) return ServiceAccount{i, number->second};
  }
  return std::nullopt;
}

AccountShares::Use& AccountShares::UseOf(const ServiceAccount& account) {
  std::vector<Use>& uses = services_[account.service].uses;
  if (uses.size() <= account.account) uses.resize(accounts_.size());
  return uses[account.account];
}

const AccountShares::Use* AccountShares::FindUse(
    const ServiceAccount& account) const {
  const std::vector<Use>& uses = services_[account.service].uses;
  return account.account < uses.size() ? &uses[account.account] : nullptr;
}

void AccountShares::Change(const ServiceAccount& account, int priority,
                           const Resources& need, int64_t tasks) {
  Use& use = UseOf(account);
  use.has_work = true;
  use.amounts.Add(need, static_cast<double>(tasks));
  auto runs = std::find_if(
      use.runs.begin(), use.runs.end(),
      [priority](const RunCount& each) { return each.priority == priority; });
  if (runs == use.runs.end()) runs = use.runs.insert(runs, {priority, 0});
  runs->count = std::max<int64_t>(runs->count + tasks, 0);
  if (priority != 0) return;
  double& urgent = accounts_[account.account].urgent_accelerators;
  const auto each =
      static_cast<double>(std::max<int64_t>(need.accelerators, 0));
  urgent = std::max(urgent + each * static_cast<double>(tasks), 0.0);
}

double AccountShares::WeightedShare(const ServiceAccount& account) const {
  const Use* use = FindUse(account);
  if (use == nullptr) return 0;
  const Amounts& used = use->amounts;
  const Amounts& all = services_[account.service].capacity;
  const double dominant =
      std::max({ShareOf(used.accelerators, all.accelerators),
                ShareOf(used.cpu_millis, all.cpu_millis),
                ShareOf(used.memory_mb, all.memory_mb)});
  return dominant / accounts_[account.account].weight;
}

double AccountShares::MeanShare(size_t service) const {
  const std::vector<Use>& uses = services_[service].uses;
  double sum = 0;
  int64_t count = 0;
  for (size_t i = 0; i < uses.size(); ++i) {
    if (!uses[i].has_work) continue;
    sum += WeightedShare({service, i});
    ++count;
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

int64_t AccountShares::Runs(const ServiceAccount& account, int priority) const {
  const Use* use = FindUse(account);
  if (use == nullptr) return 0;
  for (const RunCount& runs : use->runs) {
    if (runs.priority == priority) return runs.count;
  }
  return 0;
}

GuaranteeUse AccountShares::UseWith(const ServiceAccount& account,
                                    const Resources& need,
                                    int64_t tasks) const {
  const Account& owner = accounts_[account.account];
  if (owner.guarantee <= 0) return GuaranteeUse::kBeyond;
  const auto each =
      static_cast<double>(std::max<int64_t>(need.accelerators, 0));
  const double wanted = each * static_cast<double>(tasks);
  if (owner.urgent_accelerators + wanted <= owner.guarantee) {
    return GuaranteeUse::kWithin;
  }
  return owner.urgent_accelerators < owner.guarantee ? GuaranteeUse::kPartly
                                                     : GuaranteeUse::kBeyond;
}

std::vector<AccountShares::Sample> AccountShares::Samples(size_t limit) const {
  std::vector<size_t> accounts(accounts_.size());
  for (size_t i = 0; i < accounts.size(); ++i) {
    accounts[i] = i;
  }
  // By weight and name, so that the same accounts are shown each time.
  std::sort(accounts.begin(), accounts.end(), [this](size_t a, size_t b) {
    if (accounts_[a].weight != accounts_[b].weight) {
      return accounts_[a].weight > accounts_[b].weight;
    }
    return accounts_[a].name < accounts_[b].name;
  });
  std::vector<Sample> samples;
  for (size_t i = 0; i < services_.size(); ++i) {
    for (Sample& sample : SamplesOf(i, accounts, limit)) {
      samples.push_back(std::move(sample));
    }
  }
  return samples;
}

std::vector<AccountShares::Sample> AccountShares::SamplesOf(
    size_t service, const std::vector<size_t>& accounts, size_t limit) const {
  const std::string& name = services_[service].name;
  std::vector<Sample> samples;
  std::optional<Sample> other;
  for (size_t i = 0; i < accounts.size(); ++i) {
    const double share = WeightedShare({service, accounts[i]});
    const std::string& account = accounts_[accounts[i]].name;
    if (i < limit && account != kOther) {
      samples.push_back({name, account, share});
      continue;
    }
    if (!other) other = Sample{name, kOther, 0};
    other->share = std::max(other->share, share);
  }
  if (other) samples.push_back(std::move(*other));
  return samples;
}

}  // namespace thornplank
