// Interface between the scheduler and the external formats of operators,
// workers and callers. The implementation knows the names of streams, headers
// and fields; the scheduler sees only types.
#ifndef THORNPLANK_COORDINATION_FORMATS_H_
#define THORNPLANK_COORDINATION_FORMATS_H_

#include <optional>
#include <string>

#include "base/error.h"
#include "coordination/record_store.h"
#include "coordination/serving_configuration.h"
#include "net/http_message.h"
#include "workload/job_definition.h"
#include "workload/job_ledger.h"
#include "workload/worker_report.h"

namespace thornplank {

// The streams to which operators and workers write.
struct PublishedStreams {
  Partition configuration;
  // Key of the configuration record in that partition.
  std::string configuration_key;
  // The directory of workers: one record for each worker.
  Partition workers;
};

// The headers of a caller's request, decoded.
struct CallerHeaders {
  std::string host;
  // API key; "" if the request has none.
  std::string key;
  // Time-out of the caller; zero if the request has none.
  Milliseconds timeout{0};
};

class Formats {
 public:
  virtual ~Formats() = default;

  virtual PublishedStreams streams() const = 0;
  // The Read functions return nullopt and set `error` if the input is invalid.
  virtual std::optional<ServingConfiguration> ReadConfiguration(
      const std::string& value, Error* error) const = 0;
  // The failure domain that a record with this key closes for new work, or
  // opens again if the record is a tombstone; "" for any other key. Such
  // records are in the partition of the configuration.
  virtual std::string ClosedDomainOf(const std::string& key) const = 0;
  virtual std::optional<WorkerRegistration> ReadWorker(
      const KeyedRecord& record, Error* error) const = 0;
  virtual CallerHeaders ReadHeaders(const HttpRequest& request) const = 0;
  // Reads the body of a submission. The caller of this function fills in id,
  // account, policy and time of acceptance.
  virtual std::optional<JobDefinition> ReadJob(const std::string& body,
                                               Error* error) const = 0;
  // `failure` is the reason why the job has failed; "" for any other state.
  virtual HttpResponse JobStateResponse(JobState state,
                                        const std::string& failure) const = 0;
  virtual HttpResponse QueueLengthResponse(int64_t waiting_jobs) const = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_FORMATS_H_
