// Bad input to an entry, as raw bytes, with the answer that it must get.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_BAD_INPUT_CASES_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_BAD_INPUT_CASES_H_

#include <string>
#include <vector>

namespace thornplank {

// Tokens of the entries under test; "north" is a caller's.
inline constexpr char kNorthToken[] = "north-secret";
inline constexpr char kOperatorToken[] = "operator-secret";
inline constexpr char kViewerToken[] = "viewer-secret";

// `bytes` must get `status` with problem details of this title.
struct BadCase {
  std::string name;
  std::string bytes;
  int status;
  std::string title;
};

// A whole request with `fields`, lines that end in "\r\n"; no token when empty.
std::string WholeRequest(const std::string& method, const std::string& target,
                         const std::string& token, const std::string& fields,
                         const std::string& body);
// A request of account "north" to the service "claims".
std::string ServiceRequest(const std::string& fields);

// For an entry that takes bodies of at most 1 MiB.
std::vector<BadCase> MalformedHttp();
// For an entry with the accounts "north" and "south".
std::vector<BadCase> BadRequests();
std::vector<BadCase> BadJobs(const std::string& job_of_south);
std::vector<BadCase> BadSettings();

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_BAD_INPUT_CASES_H_
