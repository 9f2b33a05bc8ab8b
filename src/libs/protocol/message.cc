// CBOR encoding of the envelope, and decoding with validation.
#include "protocol/message.h"

#include <utility>

#include "base/json_depth_check.h"

namespace thornplank {
namespace {

constexpr char kStep[] = "decode message";

std::optional<Message> Refuse(Error* error, std::string reason) {
  SetError(error, kStep, "", std::move(reason));
  return std::nullopt;
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  Json envelope = {
      {"v", kProtocolVersion}, {"type", message.type}, {"body", message.body}};
  if (message.correlation_id != 0) envelope["id"] = message.correlation_id;
  if (message.is_reply) envelope["reply"] = true;
  std::string frame;
  Json::to_cbor(envelope, frame);
  return frame;
}

std::optional<Message> DecodeMessage(std::string_view frame, Error* error) {
  JsonDepthCheck check;
  if (!Json::sax_parse(frame.begin(), frame.end(), &check,
                       Json::input_format_t::cbor)) {
    return Refuse(error, "not CBOR, or too deep");
  }
  Json envelope = ParseCbor(frame).value_or(Json());
  if (!envelope.is_object()) return Refuse(error, "not a CBOR map");
  const std::optional<int64_t> version = IntField(envelope, "v");
  if (version != kProtocolVersion) {
    return Refuse(error, "another protocol version, this one is " +
                             std::to_string(kProtocolVersion));
  }
  const std::optional<std::string> type = StringField(envelope, "type");
  if (!type || type->empty()) return Refuse(error, "no type");
  const auto body = envelope.find("body");
  if (body == envelope.end()) return Refuse(error, "no body");

  Message message;
  message.type = *type;
  message.body = std::move(*body);
  message.is_reply = BoolField(envelope, "reply").value_or(false);
  const auto id = envelope.find("id");
  if (id != envelope.end()) {
    if (!id->is_number_unsigned()) return Refuse(error, "malformed id");
    message.correlation_id = id->get<uint64_t>();
  }
  if (message.is_reply && message.correlation_id == 0) {
    return Refuse(error, "a reply without an id");
  }
  return message;
}

}  // namespace thornplank
