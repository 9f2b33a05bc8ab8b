// Implements blocking calls on top of the asynchronous HttpClient.
#include "client/api_client.h"

#include <future>
#include <utility>

#include "net/http_client.h"
#include "net/io_pool.h"

namespace thornplank {

class ApiClient::Impl {
 public:
  struct Result {
    std::optional<HttpResponse> response;
    HttpFailure failure;
  };

  Impl() : pool_(1), http_(pool_.io(), HttpClientLimits()) { pool_.Start(); }
  ~Impl() {
    http_.Close();
    pool_.Stop();
  }

  Result Send(const std::string& entry, HttpRequest request, Duration timeout) {
    HttpSendOptions options;
    options.timeout = timeout;
    auto done = std::make_shared<std::promise<Result>>();
    std::future<Result> result = done->get_future();
    http_.Send(entry, std::move(request), options,
               [done](std::optional<HttpResponse> response,
                      const HttpFailure& failure) {
                 done->set_value({std::move(response), failure});
               });
    return result.get();
  }

 private:
  IoPool pool_;
  HttpClient http_;
};

ApiClient::ApiClient(ApiClientSettings settings)
    : settings_(std::move(settings)), impl_(std::make_unique<Impl>()) {}
ApiClient::~ApiClient() = default;

std::optional<HttpResponse> ApiClient::Send(const std::string& method,
                                            const std::string& target,
                                            const std::string& body,
                                            const HttpHeaders& headers,
                                            Error* error) {
  SetError(error, "send", "", "no entry is named: use --entries");
  for (const std::string& entry : settings_.entries) {
    const Impl::Result result = impl_->Send(
        entry, MakeRequest(method, target, body, headers), settings_.timeout);
    if (result.response.has_value()) return result.response;
    if (error != nullptr) *error = result.failure.error;
    const bool may_retry =
        method == "GET" || result.failure.progress == SendProgress::kNotSent;
    if (!may_retry) return std::nullopt;
  }
  return std::nullopt;
}

std::optional<HttpResponse> ApiClient::SendTo(const std::string& entry,
                                              const std::string& method,
                                              const std::string& target,
                                              const std::string& body,
                                              const HttpHeaders& headers,
                                              Error* error) {
  const Impl::Result result = impl_->Send(
      entry, MakeRequest(method, target, body, headers), settings_.timeout);
  if (!result.response.has_value() && error != nullptr) {
    *error = result.failure.error;
  }
  return result.response;
}

HttpRequest ApiClient::MakeRequest(const std::string& method,
                                   const std::string& target,
                                   const std::string& body,
                                   const HttpHeaders& headers) const {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.headers = headers;
  request.body = body;
  if (!body.empty() && !headers.Has("Content-Type")) {
    request.headers.Set("Content-Type", "application/json");
  }
  if (!settings_.token.empty() && !headers.Has("Authorization")) {
    request.headers.Set("Authorization", "Bearer " + settings_.token);
  }
  if (!settings_.account.empty() && !headers.Has("Thornplank-Account")) {
    request.headers.Set("Thornplank-Account", settings_.account);
  }
  return request;
}

}  // namespace thornplank
