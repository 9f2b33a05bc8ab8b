// The envelope of the inner protocol between entries.
//
// Each message is one binary WebSocket frame that holds one CBOR map:
// {"v": protocol version, "type": name, "id": correlation, "reply": true,
// "body": map}; "id" and "reply" are left out where they would be 0 and false.
// The typed bodies stand in the other headers of this library.
#ifndef THORNPLANK_PROTOCOL_MESSAGE_H_
#define THORNPLANK_PROTOCOL_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/json.h"

namespace thornplank {

inline constexpr int kProtocolVersion = 1;

struct Message {
  // Names are listed with their bodies in docs/PROTOCOLS.md.
  std::string type;
  // Nonzero for a call and for its reply; zero for one-way messages.
  uint64_t correlation = 0;
  bool is_reply = false;
  Json body = Json::object();
};

// The frame for a message.
std::string EncodeMessage(const Message& message);
// nullopt and `*error` when the frame is malformed, too deep, or of another
// protocol version.
std::optional<Message> DecodeMessage(std::string_view frame, Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_MESSAGE_H_
