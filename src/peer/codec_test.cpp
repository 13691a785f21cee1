#include "peer/codec.h"

#include "common/hash.h"
#include "common/random.h"
#include "peer/framer.h"

#include <criterion/criterion.h>

#include <vector>

using namespace lacewingwharf;

namespace {

constexpr std::size_t kMaxBytes = 1U << 20U;

wire::Envelope
CallEnvelope()
{
  wire::CallRequest request;
  request.callId = "id";
  request.headers = { { "X-One", "1" }, { "X-Two", "2" } };
  request.body = std::string("\0\xff\r\n", 4);
  request.remainingMillis = -1;
  request.digest = INT64_MIN;
  wire::Envelope envelope;
  envelope.__set_callRequest(request);
  return envelope;
}

wire::Envelope
MemberSyncEnvelope()
{
  wire::MemberRecord record;
  record.host = "host";
  record.state = wire::MemberState::ALIVE;
  wire::Endpoint endpoint;
  endpoint.state = wire::EndpointState::READY;
  record.endpoints.assign(3, endpoint);
  record.endpoints[1].serviceName = "orders";
  wire::MemberSync sync;
  sync.records.assign(20, record);
  wire::Envelope envelope;
  envelope.__set_memberSync(sync);
  return envelope;
}

wire::Envelope
ConfigAnswerEnvelope(std::size_t aBodies, std::size_t aNames)
{
  wire::ConfigBody body;
  body.removed.resize(aNames);
  wire::ConfigAnswer answer;
  answer.bodies.assign(aBodies, body);
  wire::Envelope envelope;
  envelope.__set_configAnswer(answer);
  return envelope;
}

std::vector<wire::Envelope>
SampleEnvelopes()
{
  return { CallEnvelope(), MemberSyncEnvelope(), ConfigAnswerEnvelope(2, 3) };
}

/**
 * Makes one to four random changes: truncates the bytes, removes or repeats a
 * part of them, or changes one byte.
 */
std::string
Mutated(std::string aBytes, const Random& aRandom)
{
  const auto edits = 1 + RandomBelow(aRandom, 4);
  for (std::uint64_t i = 0; i < edits && !aBytes.empty(); ++i) {
    const auto at = RandomBelow(aRandom, aBytes.size());
    const auto length = 1 + RandomBelow(aRandom, aBytes.size() - at);
    switch (RandomBelow(aRandom, 4)) {
      case 0:
        aBytes.resize(at);
        break;
      case 1:
        aBytes.erase(at, length);
        break;
      case 2:
        aBytes.insert(at, aBytes.substr(at, length));
        break;
      default:
        aBytes[at] = static_cast<char>(RandomBelow(aRandom, 256));
    }
  }
  return aBytes;
}

/** Appends aBytes and returns the complete frames up to the first error. */
std::vector<std::string>
WholeFrames(Framer& aFramer, std::string_view aBytes)
{
  std::vector<std::string> frames;
  aFramer.Append(aBytes);
  for (auto frame = aFramer.Next(); frame && frame.value();
       frame = aFramer.Next()) {
    frames.emplace_back(*frame.value());
  }
  return frames;
}

} // namespace

// Decoding must restore every field that encoding writes.
Test(codec, RoundTrip)
{
  for (const auto& envelope : SampleEnvelopes()) {
    const auto bytes = EncodeEnvelope(envelope, kMaxBytes);
    cr_assert(bytes.has_value());
    const auto decoded = DecodeEnvelope(bytes.value());
    cr_assert(decoded.has_value());
    cr_assert(decoded.value() == envelope);
  }
}

// A damaged message must not crash the decoder. It is either rejected or
// decoded to an envelope with one field. The decoder must not change its input,
// because the next frame follows it in the same buffer.
Test(codec, RandomDamageIsAnErrorOrAValidMessage)
{
  const Random random = SeededRandom(20261204);
  const auto samples = SampleEnvelopes();
  for (int i = 0; i < 2000; ++i) {
    const auto& sample = samples[RandomBelow(random, samples.size())];
    const std::string bytes =
      Mutated(EncodeEnvelope(sample, kMaxBytes).value(), random);
    const auto before = Hash64(bytes);
    const auto decoded = DecodeEnvelope(bytes);
    cr_assert_eq(Hash64(bytes), before);
    if (decoded) {
      const auto again = EncodeEnvelope(decoded.value(), kMaxBytes);
      cr_assert(again.has_value());
      cr_assert(DecodeEnvelope(again.value()).value() == decoded.value());
    }
  }
}

// A truncated message must not be accepted as a complete one.
Test(codec, EveryTruncationIsAnError)
{
  for (const auto& sample : SampleEnvelopes()) {
    const std::string bytes = EncodeEnvelope(sample, kMaxBytes).value();
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      cr_assert_not(DecodeEnvelope(bytes.substr(0, size)).has_value());
    }
    cr_assert_not(DecodeEnvelope(bytes + '\0').has_value());
  }
}

// A small message can declare containers or strings that are larger than the
// message, and the decoder must not allocate them.
Test(codec, DeclaredSizesBeyondTheMessageAreRejected)
{
  // memberSync: field 5, struct; records: field 1, list of structs.
  const std::string list("\x5c\x19\xfc\xff\xff\xff\x7f", 7);
  cr_assert_not(DecodeEnvelope(list + std::string(64, '\0')).has_value());
  // callCancel: field 12, struct; callId: field 1, string.
  const std::string text("\xcc\x18\xff\xff\xff\x7f", 6);
  cr_assert_not(DecodeEnvelope(text + std::string(64, 'x')).has_value());
}

// Many containers that are small on their own can together use far more memory
// than the bytes of their message.
Test(codec, ElementsOfAllContainersAreBounded)
{
  const auto encodedAnswer = [](std::size_t aCount) {
    return EncodeEnvelope(ConfigAnswerEnvelope(400, aCount), 8U << 20U).value();
  };
  cr_assert(DecodeEnvelope(encodedAnswer(300)).has_value());
  const auto decoded = DecodeEnvelope(encodedAnswer(400));
  cr_assert_not(decoded.has_value());
  cr_assert_eq(decoded.error().detail, "too many container elements");
}

// Messages that the receiver would reject must fail in the sender.
Test(codec, EncodingRejectsInvalidEnvelopes)
{
  cr_assert_eq(EncodeEnvelope({}, kMaxBytes).error().code,
               PeerErrorCode::Malformed);
  wire::Envelope two = CallEnvelope();
  two.__set_heartbeat({});
  cr_assert_not(EncodeEnvelope(two, kMaxBytes).has_value());
  cr_assert_eq(EncodeFrame(MemberSyncEnvelope(), 100).error().code,
               PeerErrorCode::TooLarge);
}

// Frames must neither be lost nor merged when a read ends at any position in a
// frame.
Test(framer, FramesAreSplitAtEveryReadSize)
{
  std::string stream;
  for (const auto& sample : SampleEnvelopes()) {
    stream += EncodeFrame(sample, kMaxBytes).value();
  }
  for (std::size_t step = 1; step < 50; ++step) {
    Framer framer(kMaxBytes);
    std::vector<std::string> frames;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      for (auto& frame : WholeFrames(framer, stream.substr(at, step))) {
        frames.push_back(std::move(frame));
      }
    }
    cr_assert_eq(frames.size(), 3U);
    cr_assert(DecodeEnvelope(frames[1]).value() == MemberSyncEnvelope());
  }
}

// Empty frames and frames above the limit are rejected as soon as their header
// has arrived.
Test(framer, LengthsOutOfBoundsAreErrors)
{
  Framer framer(1000);
  framer.Append(std::string("\0\0\x03\xe9", 4));
  cr_assert_eq(framer.Next().error().code, PeerErrorCode::TooLarge);
  Framer empty(1000);
  empty.Append(std::string(4, '\0'));
  cr_assert_eq(empty.Next().error().code, PeerErrorCode::Malformed);
}

// The check for exactly one field must count load reports: when it left them
// out, both the sender and the receiver rejected them.
Test(codec, LoadReportsRoundTrip)
{
  wire::LoadReport report;
  report.host = "host";
  wire::Envelope envelope;
  envelope.__set_loadReport(report);
  const auto encoded = EncodeEnvelope(envelope, kMaxBytes);
  cr_assert(encoded.has_value());
  const auto decoded = DecodeEnvelope(encoded.value());
  cr_assert(decoded.has_value());
  cr_expect(decoded.value() == envelope);
}
