// The first frame on each link: who is at the other end.
//
// The dialler sends its hello when the link opens; the accepting end checks
// the secret before it answers with its own, so that it never shows the secret
// to a stranger.
#ifndef THORNPLANK_PROTOCOL_HELLO_H_
#define THORNPLANK_PROTOCOL_HELLO_H_

#include <cstddef>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/json.h"

namespace thornplank {

inline constexpr char kHelloType[] = "hello";
// The longest frame accepted before the hello was checked.
inline constexpr size_t kMaxHelloBytes = 4096;

struct Hello {
  // 1 to 128 printable ASCII characters each; the failure domain may be empty.
  std::string name;
  std::string incarnation;
  std::string failure_domain;
  std::string secret;
  // False in an answer when the accepting end already has a better link to
  // this peer and closes the new one.
  bool kept = true;
};

Json ToJson(const Hello& hello);
// nullopt and `*error` when a field is absent or malformed.
std::optional<Hello> HelloFromJson(const Json& body, Error* error);

// Compares in a time that depends on the lengths only.
bool SecretsEqual(const std::string& left, const std::string& right);

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_HELLO_H_
