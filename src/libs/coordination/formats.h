// What the scheduler needs to read of the operators', workers' and callers'
// formats. The implementation knows the names; the scheduler knows the types.
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

// Where operators and workers publish.
struct PublishedStreams {
  Partition configuration;
  // The key of the configuration in it.
  std::string configuration_key;
  Partition workers;
};

// The headers of a caller's request, decoded.
struct CallerHeaders {
  std::string host;
  std::string key;
  // How long the caller waits; zero when it does not say.
  Milliseconds timeout{0};
};

class Formats {
 public:
  virtual ~Formats() = default;

  virtual PublishedStreams streams() const = 0;
  virtual std::optional<ServingConfiguration> ReadConfiguration(
      const std::string& value, Error* error) const = 0;
  // The failure domain that a record of the configuration's stream closes, or
  // opens where it has no value; "" for any other key.
  virtual std::string ClosedDomainOf(const std::string& key) const = 0;
  virtual std::optional<WorkerRegistration> ReadWorker(
      const KeyedRecord& record, Error* error) const = 0;
  virtual CallerHeaders ReadHeaders(const HttpRequest& request) const = 0;
  // The body of a submission; id, account, policy and time are the caller's of
  // this function to fill in.
  virtual std::optional<JobDefinition> ReadJob(const std::string& body,
                                               Error* error) const = 0;
  // `failure`: why a job has failed; "" for any other state.
  virtual HttpResponse JobStateResponse(JobState state,
                                        const std::string& failure) const = 0;
  virtual HttpResponse QueueLengthResponse(int64_t waiting_jobs) const = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_FORMATS_H_
