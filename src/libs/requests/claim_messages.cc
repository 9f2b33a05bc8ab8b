// Encoding and decoding of the call "claim-outcome" and its reply.
#include "requests/claim_messages.h"

#include <string>
#include <utility>

namespace thornplank {
namespace {

constexpr char kAnswered[] = "answered";
constexpr char kNotRun[] = "not-run";
constexpr char kUnknown[] = "unknown";
// Below the frame size limit of the peer protocol.
constexpr size_t kMaxAnswerBytes = 7 * 1024 * 1024;

Json EncodeAnswer(const UpstreamAnswer& answer) {
  const std::string& text = answer.body;
  return {{"outcome", kAnswered},
          {"status", answer.status},
          {"content_type", answer.content_type},
          {"executor", answer.executor},
          {"body", Json::binary({text.begin(), text.end()})}};
}

std::optional<UpstreamAnswer> DecodeAnswer(const Json& body) {
  const auto status = IntField(body, "status");
  const auto content_type = StringField(body, "content_type");
  const auto executor = StringField(body, "executor");
  const auto content = body.find("body");
  if (!status || !content_type || !executor || content == body.end() ||
      !content->is_binary()) {
    return std::nullopt;
  }
  const auto& bytes = content->get_binary();
  UpstreamAnswer answer;
  answer.status = static_cast<int>(*status);
  answer.content_type = *content_type;
  answer.executor = *executor;
  answer.body.assign(bytes.begin(), bytes.end());
  return answer;
}

}  // namespace

Json EncodeClaimOutcomeQuery(const ClaimOutcomeQuery& query) {
  const ClaimRequest& request = query.request;
  return {{"account", request.account},
          {"service", request.service},
          {"key", request.key},
          {"key_time_ms", ToUnixMilliseconds(request.key_time)},
          {"body_digest", ToHex(request.body_digest)},
          {"wait_ms", query.max_wait.count()}};
}

std::optional<ClaimOutcomeQuery> DecodeClaimOutcomeQuery(const Json& body) {
  const auto account = StringField(body, "account");
  const auto service = StringField(body, "service");
  const auto key = StringField(body, "key");
  const auto key_time = IntField(body, "key_time_ms");
  const auto digest_text = StringField(body, "body_digest");
  const auto max_wait = IntField(body, "wait_ms");
  if (!account || !service || !key || !key_time || !digest_text || !max_wait) {
    return std::nullopt;
  }
  const auto digest = ParseDigest(*digest_text);
  if (!digest) return std::nullopt;
  ClaimOutcomeQuery query;
  query.request.account = *account;
  query.request.service = *service;
  query.request.key = *key;
  query.request.key_time = FromUnixMilliseconds(*key_time);
  query.request.body_digest = *digest;
  query.max_wait = Milliseconds(*max_wait);
  return query;
}

Json EncodeClaimVerdict(const ClaimVerdict& verdict) {
  if (verdict.kind == ClaimVerdictKind::kAnswered) {
    if (verdict.answer.body.size() <= kMaxAnswerBytes) {
      return EncodeAnswer(verdict.answer);
    }
    return {{"outcome", kUnknown},
            {"reason", "answered, but too large to be passed between entries"}};
  }
  const bool not_run = verdict.kind == ClaimVerdictKind::kNotRun;
  return {{"outcome", not_run ? kNotRun : kUnknown},
          {"reason", verdict.reason}};
}

ClaimVerdict DecodeClaimVerdict(const Json& body) {
  ClaimVerdict verdict;
  verdict.kind = ClaimVerdictKind::kUnknown;
  verdict.reason = StringField(body, "reason").value_or("malformed reply");
  const auto outcome = StringField(body, "outcome");
  if (outcome == kNotRun) {
    verdict.kind = ClaimVerdictKind::kNotRun;
    verdict.retry_after = kRetryAfterClaim;
    return verdict;
  }
  if (outcome != kAnswered) return verdict;
  auto answer = DecodeAnswer(body);
  if (!answer) return verdict;
  verdict.kind = ClaimVerdictKind::kAnswered;
  verdict.answer = std::move(*answer);
  return verdict;
}

}  // namespace thornplank
