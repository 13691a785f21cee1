#include "execution/claimshard.h"

#include "common/base64.h"
#include "membership/wiresize.h"

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace lacewingwharf {

namespace {

using Buffer = apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<Buffer>;
using ClaimResult = wire::ClaimResult;
using State = wire::ClaimState;

constexpr std::size_t kHeaderBytes = 16;

} // namespace

std::string
ClaimShardName(int aShard)
{
  return fmt::format("claims/{:03}", aShard);
}

int
ClaimShardOf(std::int64_t aKeyHash)
{
  return static_cast<int>(static_cast<std::uint64_t>(aKeyHash) % kClaimShards);
}

ClaimShard::ClaimShard(ClaimShardLimits aLimits)
  : limits(aLimits)
{
}

std::optional<ClaimShard>
ClaimShard::Parse(std::string_view aValue, ClaimShardLimits aLimits)
{
  auto decoded = DecodeBase64(aValue);
  if (!decoded) {
    return std::nullopt;
  }
  wire::ClaimShardValue value;
  try {
    std::string bytes = std::move(*decoded);
    const auto buffer =
      std::make_shared<Buffer>(reinterpret_cast<std::uint8_t*>(bytes.data()),
                               static_cast<std::uint32_t>(bytes.size()));
    Protocol protocol(buffer);
    value.read(&protocol);
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  }
  ClaimShard shard(aLimits);
  for (const wire::Claim& claim : value.claims) {
    shard.bytes += EncodedSize(claim);
    shard.claims.emplace(claim.keyHash, claim);
  }
  return shard;
}

std::string
ClaimShard::Encode() const
{
  wire::ClaimShardValue value;
  value.claims.reserve(this->claims.size());
  std::ranges::transform(this->claims,
                         std::back_inserter(value.claims),
                         [](const auto& aItem) { return aItem.second; });
  const auto buffer = std::make_shared<Buffer>();
  Protocol protocol(buffer);
  value.write(&protocol);
  return EncodeBase64(buffer->getBufferAsString());
}

bool
ClaimShard::IsExpired(const wire::Claim& aClaim, Millis aWallNow) const
{
  const Millis retention = aClaim.state == State::RELEASED
                             ? this->limits.releasedRetention
                             : this->limits.retention;
  return aWallNow - aClaim.wallMillis > retention;
}

const wire::Claim*
ClaimShard::Find(std::int64_t aKeyHash, Millis aWallNow) const
{
  const auto position = this->claims.find(aKeyHash);
  if (position == this->claims.end() ||
      this->IsExpired(position->second, aWallNow)) {
    return nullptr;
  }
  return &position->second;
}

ClaimResult::type
ClaimShard::Apply(const wire::ClaimRequest& aRequest, Millis aWallNow)
{
  return aRequest.wanted == State::HELD ? this->Hold(aRequest, aWallNow)
                                        : this->Finish(aRequest, aWallNow);
}

ClaimResult::type
ClaimShard::Hold(const wire::ClaimRequest& aRequest, Millis aWallNow)
{
  const wire::Claim* const claim = this->Find(aRequest.keyHash, aWallNow);
  if (claim == nullptr) {
    return this->Store(aRequest, aWallNow);
  }
  const bool isSameHolder = claim->holder == aRequest.holder;
  switch (claim->state) {
    case State::HELD:
      return isSameHolder ? ClaimResult::GRANTED : ClaimResult::DUPLICATE;
    case State::RELEASED:
      // A request that arrives after its own release must not hold the key,
      // because nothing would release it again.
      return isSameHolder ? ClaimResult::UNAVAILABLE
                          : this->Store(aRequest, aWallNow);
    case State::DONE:
      break;
  }
  return ClaimResult::DUPLICATE;
}

ClaimResult::type
ClaimShard::Finish(const wire::ClaimRequest& aRequest, Millis aWallNow)
{
  const wire::Claim* const claim = this->Find(aRequest.keyHash, aWallNow);
  if (claim != nullptr && claim->state == aRequest.wanted) {
    return ClaimResult::GRANTED;
  }
  const bool isTaken = claim != nullptr && (claim->state != State::HELD ||
                                            claim->holder != aRequest.holder);
  return isTaken ? ClaimResult::DUPLICATE : this->Store(aRequest, aWallNow);
}

ClaimResult::type
ClaimShard::Store(const wire::ClaimRequest& aRequest, Millis aWallNow)
{
  wire::Claim claim;
  claim.keyHash = aRequest.keyHash;
  claim.state = aRequest.wanted;
  claim.wallMillis = aWallNow;
  if (aRequest.wanted != State::DONE) {
    claim.__set_holder(aRequest.holder);
  }
  const auto before = this->claims.find(aRequest.keyHash);
  const std::size_t freed =
    before == this->claims.end() ? 0 : EncodedSize(before->second);
  const std::size_t bytesAfter = this->bytes - freed + EncodedSize(claim);
  if (Base64Size(bytesAfter + kHeaderBytes) > this->limits.maxBytes) {
    return ClaimResult::UNAVAILABLE;
  }
  this->bytes = bytesAfter;
  this->claims[aRequest.keyHash] = claim;
  this->isChanged = true;
  return ClaimResult::GRANTED;
}

void
ClaimShard::Prune(Millis aWallNow)
{
  const auto removed = std::erase_if(this->claims, [&](const auto& aItem) {
    if (!this->IsExpired(aItem.second, aWallNow)) {
      return false;
    }
    this->bytes -= EncodedSize(aItem.second);
    return true;
  });
  this->isChanged |= removed > 0;
}

bool
ClaimShard::TakeChanged()
{
  return std::exchange(this->isChanged, false);
}

} // namespace lacewingwharf
