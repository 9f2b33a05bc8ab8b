// The message envelope of the peer protocol, which the entries speak with each
// other.
//
// Each message is one binary WebSocket frame that contains one CBOR map:
// {"v": protocol version, "type": name, "id": correlation id, "reply": true,
// "body": map}. "id" and "reply" are omitted if they are 0 and false.
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
  // The types and their bodies are listed in docs/PROTOCOLS.md.
  std::string type;
  // Nonzero for calls and replies, zero for one-way messages. A reply has the
  // id of its call.
  uint64_t correlation_id = 0;
  bool is_reply = false;
  Json body = Json::object();
};

std::string EncodeMessage(const Message& message);
// Returns nullopt and sets `*error` if the frame is malformed, nested too
// deeply, or of a different protocol version.
std::optional<Message> DecodeMessage(std::string_view frame, Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_MESSAGE_H_
