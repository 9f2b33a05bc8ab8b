// Builds problem-details responses.
#include "net/problem_response.h"

#include "base/json.h"

namespace thornplank {
namespace {

struct StatusPhrase {
  int status;
  std::string_view title;
};

constexpr StatusPhrase kPhrases[] = {
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {412, "Precondition Failed"},
    {413, "Content Too Large"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
};

}  // namespace

std::string_view StatusTitle(int status) {
  for (const StatusPhrase& phrase : kPhrases) {
    if (phrase.status == status) return phrase.title;
  }
  return "Error";
}

HttpResponse ProblemResponse(int status, const Error& error) {
  const Json body = {
      {"type", "about:blank"}, {"title", std::string(StatusTitle(status))},
      {"status", status},      {"detail", error.reason},
      {"step", error.step},    {"peer", error.peer}};
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/problem+json");
  response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

}  // namespace thornplank
