// The hello message, which is the first frame in each direction of a link and
// identifies the sender.
//
// The dialling end sends its hello when the link opens. The accepting end
// checks the secret in it before it answers with its own hello, so that it does
// not reveal the secret to an unauthorized client.
#ifndef THORNPLANK_PROTOCOL_HELLO_H_
#define THORNPLANK_PROTOCOL_HELLO_H_

#include <cstddef>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/json.h"

namespace thornplank {

inline constexpr char kHelloType[] = "hello";
// The largest frame that is accepted before the hello was checked, in bytes.
inline constexpr size_t kMaxHelloBytes = 4096;

struct Hello {
  // 1 to 128 printable ASCII characters without blanks each.
  std::string name;
  std::string incarnation;
  // At most 128 bytes of UTF-8; may be empty.
  std::string failure_domain;
  std::string secret;
  // False in the answer of an accepting end that keeps another link to this
  // peer and closes the new one.
  bool kept = true;
};

Json ToJson(const Hello& hello);
// Returns nullopt and sets `*error` if a field is absent or malformed.
std::optional<Hello> HelloFromJson(const Json& body, Error* error);

// Compares in a time that depends only on the lengths, so that the time does
// not reveal how much of a guess is right.
bool SecretsEqual(const std::string& left, const std::string& right);

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_HELLO_H_
