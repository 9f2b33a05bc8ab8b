// Invalid requests to an entry, as raw bytes, with the expected answer.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_BAD_INPUT_CASES_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_BAD_INPUT_CASES_H_

#include <string>
#include <vector>

namespace thornplank {

// Tokens that the tested entries accept; kNorthToken has the role "caller" for
// the account "north".
inline constexpr char kNorthToken[] = "north-secret";
inline constexpr char kOperatorToken[] = "operator-secret";
inline constexpr char kViewerToken[] = "viewer-secret";

// The answer to `bytes` must have this status, and a problem-details body with
// this title.
struct BadCase {
  std::string name;
  std::string bytes;
  int status;
  std::string title;
};

// A complete HTTP/1.1 request. Each line of `fields` ends in "\r\n". Without an
// Authorization header if `token` is empty.
std::string RawRequest(const std::string& method, const std::string& target,
                       const std::string& token, const std::string& fields,
                       const std::string& body);
// A request to the service "claims" with the token of account "north".
std::string ServiceRequest(const std::string& fields);

// For an entry that accepts bodies of at most 1 MiB.
std::vector<BadCase> MalformedHttp();
// For an entry with the accounts "north" and "south".
std::vector<BadCase> BadRequests();
std::vector<BadCase> BadJobs(const std::string& job_of_south);
std::vector<BadCase> BadSettings();

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_BAD_INPUT_CASES_H_
