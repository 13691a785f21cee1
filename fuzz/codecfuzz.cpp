#include "peer/codec.h"
#include "peer/framer.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include <fuzzer/FuzzedDataProvider.h>

using namespace lacewingwharf;

namespace {

constexpr std::size_t kMaxFrameBytes = 8U << 20U;

void
Check(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

/** Checks that a valid message stays equal when encoded and decoded again. */
void
CheckMessage(std::string_view aBytes)
{
  const auto envelope = DecodeEnvelope(aBytes);
  if (!envelope) {
    return;
  }
  const auto bytes = EncodeEnvelope(envelope.value(), kMaxFrameBytes);
  Check(bytes.has_value());
  const auto again = DecodeEnvelope(bytes.value());
  Check(again.has_value() && again.value() == envelope.value());
}

/** Passes the bytes to a framer in pieces; the first byte sets their size. */
void
CheckStream(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  const auto step = 1U + static_cast<unsigned char>(aBytes.front());
  Framer framer(kMaxFrameBytes);
  for (aBytes.remove_prefix(1); !aBytes.empty();
       aBytes.remove_prefix(std::min<std::size_t>(step, aBytes.size()))) {
    framer.Append(aBytes.substr(0, step));
    auto frame = framer.Next();
    for (; frame && frame.value(); frame = framer.Next()) {
      CheckMessage(*frame.value());
    }
    if (!frame) {
      return;
    }
  }
}

template<typename Number>
Number
TakeNumber(FuzzedDataProvider& aInput)
{
  return aInput.ConsumeIntegral<Number>();
}

std::string
TakeText(FuzzedDataProvider& aInput)
{
  return aInput.ConsumeRandomLengthString(40);
}

wire::UsageRequest
TakeUsageRequest(FuzzedDataProvider& aInput)
{
  wire::UsageRequest request;
  request.host = TakeText(aInput);
  request.incarnation = TakeNumber<std::int64_t>(aInput);
  request.sequence = TakeNumber<std::int64_t>(aInput);
  request.echo = TakeNumber<std::int64_t>(aInput);
  request.echoIncarnation = TakeNumber<std::int64_t>(aInput);
  request.members = TakeNumber<std::int32_t>(aInput);
  request.lent = TakeNumber<std::int32_t>(aInput);
  while (aInput.ConsumeBool()) {
    wire::UsageNeed need;
    need.team = TakeText(aInput);
    need.wanted = TakeNumber<std::int32_t>(aInput);
    need.waiting = TakeNumber<std::int32_t>(aInput);
    request.needs.push_back(need);
    wire::UsageReturn unspent;
    unspent.team = TakeText(aInput);
    unspent.sequence = TakeNumber<std::int64_t>(aInput);
    unspent.count = TakeNumber<std::int32_t>(aInput);
    request.returns.push_back(unspent);
  }
  return request;
}

wire::UsageGrant
TakeUsageGrant(FuzzedDataProvider& aInput)
{
  wire::UsageGrant grant;
  grant.host = TakeText(aInput);
  grant.incarnation = TakeNumber<std::int64_t>(aInput);
  grant.sequence = TakeNumber<std::int64_t>(aInput);
  grant.stamp = TakeNumber<std::int64_t>(aInput);
  while (aInput.ConsumeBool()) {
    wire::UsageAnswer answer;
    answer.team = TakeText(aInput);
    answer.granted = TakeNumber<std::int32_t>(aInput);
    answer.retryAfterMillis = TakeNumber<std::int32_t>(aInput);
    answer.left = TakeNumber<std::int32_t>(aInput);
    grant.answers.push_back(answer);
  }
  return grant;
}

/** Also a state that does not exist. */
wire::RolloutState::type
TakeState(FuzzedDataProvider& aInput)
{
  return static_cast<wire::RolloutState::type>(
    aInput.ConsumeIntegralInRange(1, 5));
}

wire::RolloutReport
TakeRolloutReport(FuzzedDataProvider& aInput)
{
  wire::RolloutReport report;
  report.host = TakeText(aInput);
  report.incarnation = TakeNumber<std::int64_t>(aInput);
  report.serviceName = TakeText(aInput);
  report.order = TakeNumber<std::int64_t>(aInput);
  report.state = TakeState(aInput);
  report.stamp = TakeNumber<std::int64_t>(aInput);
  report.sequence = TakeNumber<std::int64_t>(aInput);
  report.requests = TakeNumber<std::int64_t>(aInput);
  report.exposed = TakeNumber<std::int64_t>(aInput);
  report.othersRunning = TakeNumber<std::int32_t>(aInput);
  while (aInput.ConsumeBool()) {
    wire::RolloutCounts counts;
    counts.route = TakeText(aInput);
    counts.isTarget = aInput.ConsumeBool();
    counts.answers = TakeNumber<std::int32_t>(aInput);
    counts.failures = TakeNumber<std::int32_t>(aInput);
    counts.times.resize(aInput.ConsumeIntegralInRange<std::size_t>(0, 40),
                        TakeNumber<std::int32_t>(aInput));
    report.counts.push_back(counts);
  }
  return report;
}

wire::RolloutShare
TakeRolloutShare(FuzzedDataProvider& aInput)
{
  wire::RolloutShare share;
  share.decider = TakeText(aInput);
  share.serviceName = TakeText(aInput);
  share.order = TakeNumber<std::int64_t>(aInput);
  share.state = TakeState(aInput);
  share.targetVersion = TakeText(aInput);
  share.baseVersion = TakeText(aInput);
  share.sequence = TakeNumber<std::int64_t>(aInput);
  share.limit = TakeNumber<std::int64_t>(aInput);
  share.incarnation = TakeNumber<std::int64_t>(aInput);
  share.echo = TakeNumber<std::int64_t>(aInput);
  share.validMillis = TakeNumber<std::int32_t>(aInput);
  share.isStretch = aInput.ConsumeBool();
  share.servers = TakeNumber<std::int32_t>(aInput);
  return share;
}

/**
 * Checks that a usage or rollout message with these values arrives as it was,
 * unless its state does not exist, and that it may be cut and changed on its
 * way without harm.
 */
void
CheckBuiltMessage(std::string_view aBytes)
{
  FuzzedDataProvider input(reinterpret_cast<const std::uint8_t*>(aBytes.data()),
                           aBytes.size());
  wire::Envelope envelope;
  bool isValid = true;
  switch (input.ConsumeIntegralInRange(0, 3)) {
    case 0:
      envelope.__set_usageRequest(TakeUsageRequest(input));
      break;
    case 1:
      envelope.__set_usageGrant(TakeUsageGrant(input));
      break;
    case 2:
      envelope.__set_rolloutReport(TakeRolloutReport(input));
      isValid = envelope.rolloutReport.state <= wire::RolloutState::ROLLED_BACK;
      break;
    default:
      envelope.__set_rolloutShare(TakeRolloutShare(input));
      isValid = envelope.rolloutShare.state <= wire::RolloutState::ROLLED_BACK;
      break;
  }
  auto bytes = EncodeEnvelope(envelope, kMaxFrameBytes).value();
  const auto decoded = DecodeEnvelope(bytes);
  Check(decoded.has_value() == isValid);
  Check(!isValid || decoded.value() == envelope);
  Check(!DecodeEnvelope(std::string_view(bytes).substr(0, bytes.size() - 1)));
  bytes[input.ConsumeIntegralInRange<std::size_t>(0, bytes.size() - 1)] =
    input.ConsumeIntegral<char>();
  CheckMessage(bytes);
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput( // NOLINT(readability-identifier-naming)
  const std::uint8_t* aData,
  std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  CheckMessage(bytes);
  CheckStream(bytes);
  CheckBuiltMessage(bytes);
  return 0;
}
