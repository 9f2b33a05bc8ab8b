// Validation of a job, and its stored form.
#include "workload/job_definition.h"

#include <algorithm>
#include <cctype>

#include "base/json.h"

namespace thornplank {
namespace {

constexpr int64_t kMaxResource = int64_t{1} << 40;
// Changes with every incompatible change of the stored form.
constexpr int kFormat = 1;

bool InRange(int64_t value) { return value >= 0 && value <= kMaxResource; }

bool IsValidStep(const StepSpec& step, int index, std::string* reason) {
  const std::string name = "step " + std::to_string(index) + ": ";
  if (step.count < 1 || step.count > kMaxTasksPerStep) {
    *reason = name + "count must be 1 to " + std::to_string(kMaxTasksPerStep);
    return false;
  }
  const Resources& need = step.need;
  if (!InRange(need.cpu_millis) || !InRange(need.memory_mb) ||
      !InRange(need.accelerators) || !InRange(step.estimate.count())) {
    *reason = name + "a size is negative or too large";
    return false;
  }
  if (step.max_per_worker < 0 || step.max_unavailable < 0 ||
      step.tail_latency_target.count() < 0) {
    *reason = name + "a bound is negative";
    return false;
  }
  for (const int dependency : step.depends_on) {
    if (dependency >= 0 && dependency < index) continue;
    *reason = name + "depends on a step that is not before it";
    return false;
  }
  return true;
}

Json EncodeStep(const StepSpec& step) {
  return Json::array({step.count, step.need.cpu_millis, step.need.memory_mb,
                      step.need.accelerators, step.estimate.count(),
                      step.depends_on, step.checkpointable, step.gang,
                      step.same_rack, step.speculative, step.long_running,
                      step.is_filler, step.required_label, step.data_rack,
                      step.image, step.max_per_worker, step.max_unavailable,
                      step.tail_latency_target.count()});
}

StepSpec DecodeStep(const Json& row) {
  StepSpec step;
  size_t at = 0;
  step.count = row.at(at++).get<int>();
  step.need.cpu_millis = row.at(at++).get<int64_t>();
  step.need.memory_mb = row.at(at++).get<int64_t>();
  step.need.accelerators = row.at(at++).get<int64_t>();
  step.estimate = Milliseconds(row.at(at++).get<int64_t>());
  step.depends_on = row.at(at++).get<std::vector<int>>();
  step.checkpointable = row.at(at++).get<bool>();
  step.gang = row.at(at++).get<bool>();
  step.same_rack = row.at(at++).get<bool>();
  step.speculative = row.at(at++).get<bool>();
  step.long_running = row.at(at++).get<bool>();
  step.is_filler = row.at(at++).get<bool>();
  step.required_label = row.at(at++).get<std::string>();
  step.data_rack = row.at(at++).get<std::string>();
  step.image = row.at(at++).get<std::string>();
  step.max_per_worker = row.at(at++).get<int>();
  step.max_unavailable = row.at(at++).get<int>();
  // Records without a latency target end here.
  if (row.size() > at) {
    step.tail_latency_target = Milliseconds(row.at(at).get<int64_t>());
  }
  return step;
}

Json EncodeAdvice(const std::optional<AdviceTerms>& terms) {
  if (!terms) return nullptr;
  return Json::array({terms->query_time.count(), terms->time_per_worker.count(),
                      terms->validity.count()});
}

std::optional<AdviceTerms> DecodeAdvice(const Json& row) {
  if (row.is_null()) return std::nullopt;
  AdviceTerms terms;
  terms.query_time = Milliseconds(row.at(0).get<int64_t>());
  terms.time_per_worker = Milliseconds(row.at(1).get<int64_t>());
  terms.validity = Milliseconds(row.at(2).get<int64_t>());
  return terms;
}

JobDefinition DecodeFields(const Json& record) {
  JobDefinition job;
  size_t at = 1;
  job.id = record.at(at++).get<std::string>();
  job.account = record.at(at++).get<std::string>();
  job.payload = record.at(at++).get<std::string>();
  job.policy.queue = record.at(at++).get<std::string>();
  job.policy.service = record.at(at++).get<std::string>();
  job.policy.priority = record.at(at++).get<int>();
  job.policy.max_attempts = record.at(at++).get<int>();
  job.policy.stretch = record.at(at++).get<double>();
  job.policy.slack = Milliseconds(record.at(at++).get<int64_t>());
  job.occurrences = record.at(at++).get<int>();
  job.first_start = FromUnixMilliseconds(record.at(at++).get<int64_t>());
  job.interval = Milliseconds(record.at(at++).get<int64_t>());
  job.accepted = FromUnixMilliseconds(record.at(at++).get<int64_t>());
  for (const Json& row : record.at(at++)) {
    job.steps.push_back(DecodeStep(row));
  }
  // Records without advice terms end here.
  if (record.size() > at) job.policy.advice = DecodeAdvice(record.at(at));
  return job;
}

// The shortest time in which the job can run, according to the caller's
// estimates.
Milliseconds LongestChain(const JobDefinition& spec) {
  std::vector<Milliseconds> ends;
  Milliseconds longest{0};
  for (const StepSpec& step : spec.steps) {
    Milliseconds begin{0};
    for (const int dependency : step.depends_on) {
      begin = std::max(begin, ends[static_cast<size_t>(dependency)]);
    }
    ends.push_back(begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace

Milliseconds JobDefinition::objective() const {
  const auto chain = static_cast<double>(LongestChain(*this).count());
  return policy.slack +
         Milliseconds(static_cast<int64_t>(chain * policy.stretch));
}

Milliseconds JobDefinition::estimate_from(int step) const {
  constexpr Milliseconds kNotAfter{-1};
  std::vector<Milliseconds> ends(steps.size(), kNotAfter);
  const auto first = static_cast<size_t>(step);
  ends[first] = steps[first].estimate;
  Milliseconds longest = ends[first];
  for (size_t i = first + 1; i < steps.size(); ++i) {
    Milliseconds begin = kNotAfter;
    for (const int dependency : steps[i].depends_on) {
      begin = std::max(begin, ends[static_cast<size_t>(dependency)]);
    }
    if (begin == kNotAfter) continue;
    ends[i] = begin + steps[i].estimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

bool JobDefinition::long_running() const {
  return std::any_of(steps.begin(), steps.end(),
                     [](const StepSpec& step) { return step.long_running; });
}

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdDigits &&
         std::all_of(text.begin(), text.end(), [](unsigned char letter) {
           return std::isxdigit(letter) != 0;
         });
}

bool IsValidJob(const JobDefinition& job, std::string* reason) {
  if (job.payload.size() > kMaxPayloadBytes) {
    *reason = "the payload is larger than " + std::to_string(kMaxPayloadBytes) +
              " bytes";
    return false;
  }
  if (job.steps.empty() || job.steps.size() > kMaxSteps) {
    *reason = "a job has 1 to " + std::to_string(kMaxSteps) + " steps";
    return false;
  }
  if (job.occurrences < 0 || job.occurrences > kMaxOccurrences ||
      job.interval.count() < 0) {
    *reason = "the number of occurrences or their interval is out of range";
    return false;
  }
  int64_t tasks = 0;
  for (size_t i = 0; i < job.steps.size(); ++i) {
    if (!IsValidStep(job.steps[i], static_cast<int>(i), reason)) return false;
    tasks += job.steps[i].count;
  }
  if (tasks * job.occurrence_count() > kMaxTasksPerJob) {
    *reason = "a job has at most " + std::to_string(kMaxTasksPerJob) + " tasks";
    return false;
  }
  return true;
}

std::string EncodeJob(const JobDefinition& job) {
  Json steps = Json::array();
  for (const StepSpec& step : job.steps) {
    steps.push_back(EncodeStep(step));
  }
  const QueuePolicy& policy = job.policy;
  const Json record =
      Json::array({kFormat, job.id, job.account, job.payload, policy.queue,
                   policy.service, policy.priority, policy.max_attempts,
                   policy.stretch, policy.slack.count(), job.occurrences,
                   ToUnixMilliseconds(job.first_start), job.interval.count(),
                   ToUnixMilliseconds(job.accepted), std::move(steps),
                   EncodeAdvice(policy.advice)});
  std::string bytes;
  Json::to_cbor(record, bytes);
  return bytes;
}

std::optional<JobDefinition> DecodeJob(std::string_view bytes, Error* error) {
  const Json record = ParseCbor(bytes).value_or(Json());
  if (record.is_array() && !record.empty() && record[0] == kFormat) {
    // The JSON library throws on wrong types; no exception leaves this
    // function.
    try {
      JobDefinition job = DecodeFields(record);
      std::string reason;
      if (IsValidJob(job, &reason)) return job;
      SetError(error, "decode job", job.id, reason);
      return std::nullopt;
    } catch (const Json::exception& fault) {
      SetError(error, "decode job", "store", fault.what());
      return std::nullopt;
    }
  }
  SetError(error, "decode job", "store", "not a job of a known format");
  return std::nullopt;
}

}  // namespace thornplank
