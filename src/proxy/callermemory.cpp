#include "proxy/callermemory.h"

#include "proxy/requestpipeline.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// What holds less is ended only when nothing larger is left: heads and bodies
// of a few kilobytes are still accepted while large bodies are refused.
constexpr std::size_t kSmallBytes = 16384;

// Answers of a connection with outstanding requests end from this size on.
// Smaller ones, as of refusals, free less than what their end would lose.
constexpr std::size_t kLeastAnswerBytes = 1024;

// Requests may use this part of the total, so that answers have the rest.
constexpr std::size_t kRequestPart = 2;

// The last part of a limit is left for what is small.
constexpr std::size_t kPartForSmall = 8;

// A caller that transfers less counts as making no progress for the rest of the
// time. Callers on the slowest links, of 10 Mbit/s, share them with 80 others
// and are still faster.
constexpr Millis kMinBytesPerMilli = 16;

// Added to the time without progress, so that without any the largest one ends.
constexpr Millis kTimeBase = 100;

// A new connection may take this long to send its first request before it can
// be closed for another one.
constexpr Millis kMinIdleTime = 1000;

/** What the end of a connection, or of its answers, would free. */
std::size_t
BytesToEnd(const HeldBytes& aHeld, bool aHasAnswers)
{
  const bool hasAnswers =
    aHasAnswers && (aHeld.requests == 0 || aHeld.answers >= kLeastAnswerBytes);
  return aHeld.reading + (hasAnswers ? aHeld.answers : 0);
}

std::size_t
WithoutPartForSmall(std::size_t aLimit)
{
  return aLimit - aLimit / kPartForSmall;
}

} // namespace

/** What is compared, and from how many bytes on. */
struct CallerMemory::Candidates
{
  CallerLimit limit = CallerLimit::TotalBytes;
  bool hasAnswers = true;
  std::size_t leastBytes = 1;
  const std::string* address = nullptr; // Null: all.
};

CallerMemory::Share::Share(CallerMemory& aMemory,
                           std::uint64_t aConnection,
                           const std::string& aAddress)
  : memory(aMemory)
  , connection(aConnection)
  , progressAt(aMemory.clock.Now())
  , idleSince(this->progressAt)
{
  const auto use = this->memory.addresses.try_emplace(aAddress).first;
  ++use->second.connections;
  this->address = &use->first;
  this->memory.shares.insert(this);
}

CallerMemory::Share::~Share()
{
  this->memory.Replace(*this, {});
  this->memory.shares.erase(this);
  --this->memory.addresses.find(*this->address)->second.connections;
  this->memory.RemoveIfUnused(std::string(*this->address));
}

void
CallerMemory::Share::Set(const HeldBytes& aHeld, bool aIsBusy)
{
  if (aIsBusy != this->isBusy) {
    this->isBusy = aIsBusy;
    this->hasSentRequest = true;
    if (!aIsBusy) {
      this->idleSince = this->memory.clock.Now();
    }
  }
  if (aHeld == this->held) {
    return;
  }
  const bool heldNothing = this->held.reading + this->held.answers == 0;
  if (heldNothing && aHeld.reading + aHeld.answers > 0) {
    this->progressAt = this->memory.clock.Now();
  }
  this->memory.Replace(*this, aHeld);
}

void
CallerMemory::Share::RecordProgress(std::size_t aBytes, Millis aNow)
{
  // Never beyond now: a fast start does not excuse a stop.
  const auto time = static_cast<Millis>(aBytes) / kMinBytesPerMilli;
  this->progressAt = std::min(aNow, this->progressAt + time);
}

CallerMemory::CallerMemory(const CallerMemoryLimits& aLimits, Clock aClock)
  : limits(aLimits)
  , clock(std::move(aClock))
{
}

bool
CallerMemory::MayOpen(const std::string& aAddress) const
{
  if (this->limits.addressConnections == 0) {
    return true;
  }
  const auto use = this->addresses.find(aAddress);
  return use == this->addresses.end() ||
         use->second.connections < this->limits.addressConnections;
}

std::size_t
CallerMemory::RequestLimit() const
{
  return this->limits.totalBytes / kRequestPart;
}

std::size_t
CallerMemory::MaxRequestBytes() const
{
  std::size_t most = WithoutPartForSmall(this->RequestLimit());
  for (const std::size_t limit :
       { this->limits.connectionBytes, this->limits.addressBytes }) {
    if (limit > 0) {
      most = most == 0 ? limit : std::min(most, limit);
    }
  }
  return most / kRequestCopies;
}

void
CallerMemory::Replace(Share& aShare, const HeldBytes& aHeld)
{
  const HeldBytes old = std::exchange(aShare.held, aHeld);
  this->reading += aHeld.reading - old.reading;
  this->requests += aHeld.requests - old.requests;
  this->answers += aHeld.answers - old.answers;
  if (this->limits.addressBytes > 0) {
    HeldBytes& use = this->addresses.find(*aShare.address)->second.held;
    use.reading += aHeld.reading - old.reading;
    use.requests += aHeld.requests - old.requests;
    use.answers += aHeld.answers - old.answers;
  }
  this->mayBeOver = this->mayBeOver || this->IsOver(aShare);
}

bool
CallerMemory::IsOver(const Share& aShare) const
{
  if (this->limits.connectionBytes > 0 &&
      aShare.held.Sum() > this->limits.connectionBytes) {
    return true;
  }
  if (this->limits.addressBytes > 0 &&
      this->addresses.find(*aShare.address)->second.held.Sum() >
        this->limits.addressBytes) {
    return true;
  }
  const std::size_t intake = this->reading + this->requests;
  return this->limits.totalBytes > 0 &&
         (intake > WithoutPartForSmall(this->RequestLimit()) ||
          intake + this->answers > this->limits.totalBytes);
}

bool
CallerMemory::MayPassOn(std::size_t aBytes) const
{
  const std::size_t held = this->requests;
  const std::size_t bound = aBytes <= kSmallBytes
                              ? this->RequestLimit()
                              : WithoutPartForSmall(this->RequestLimit());
  return this->limits.totalBytes == 0 || held == 0 ||
         held + kRequestCopies * aBytes <= bound;
}

std::optional<CallerToEnd>
CallerMemory::ChooseOver()
{
  if (!std::exchange(this->mayBeOver, false)) {
    return std::nullopt;
  }
  std::optional<CallerToEnd> chosen = this->ChooseConnection();
  if (!chosen) {
    chosen = this->ChooseInAddresses();
  }
  const std::size_t intake = this->reading + this->requests;
  if (!chosen && this->limits.totalBytes > 0 &&
      intake > WithoutPartForSmall(this->RequestLimit())) {
    // If the requests that run are too much, ending small ones does not help.
    const bool mustEndSmall =
      intake > this->RequestLimit() && this->requests <= this->RequestLimit();
    const std::size_t least = mustEndSmall ? 1 : kSmallBytes;
    chosen = this->Choose({ CallerLimit::RequestBytes, false, least });
  }
  if (!chosen && this->limits.totalBytes > 0 &&
      intake + this->answers > this->limits.totalBytes) {
    chosen = this->Choose({ CallerLimit::TotalBytes, true, 1 });
  }
  this->mayBeOver = chosen.has_value();
  return chosen;
}

std::optional<CallerToEnd>
CallerMemory::ChooseInAddresses() const
{
  if (this->limits.addressBytes == 0) {
    return std::nullopt;
  }
  for (const auto& [address, use] : this->addresses) {
    if (use.held.Sum() <= this->limits.addressBytes) {
      continue;
    }
    const bool hasAnswers = use.held.requests <= this->limits.addressBytes;
    if (auto chosen = this->Choose(
          { CallerLimit::AddressBytes, hasAnswers, 1, &address })) {
      return chosen;
    }
  }
  return std::nullopt;
}

/** A connection above its own limit ends unless its requests run. */
std::optional<CallerToEnd>
CallerMemory::ChooseConnection() const
{
  if (this->limits.connectionBytes == 0) {
    return std::nullopt;
  }
  const auto over = std::ranges::find_if(this->shares, [this](Share* aShare) {
    const HeldBytes& held = aShare->held;
    return held.Sum() > this->limits.connectionBytes &&
           BytesToEnd(held, held.requests <= this->limits.connectionBytes) > 0;
  });
  if (over == this->shares.end()) {
    return std::nullopt;
  }
  return this->Describe(**over, CallerLimit::ConnectionBytes);
}

std::optional<CallerToEnd>
CallerMemory::Choose(const Candidates& aCandidates) const
{
  const Millis now = this->clock.Now();
  const Share* chosen = nullptr;
  double most = 0;
  for (const Share* share : this->shares) {
    const std::size_t bytes = BytesToEnd(share->held, aCandidates.hasAnswers);
    const bool isCandidate =
      bytes >= aCandidates.leastBytes &&
      (aCandidates.address == nullptr || share->address == aCandidates.address);
    const double score =
      static_cast<double>(bytes) *
      static_cast<double>(now - share->progressAt + kTimeBase);
    if (isCandidate && score > most) {
      most = score;
      chosen = share;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  return this->Describe(*chosen, aCandidates.limit);
}

CallerToEnd
CallerMemory::Describe(const Share& aShare, CallerLimit aLimit) const
{
  CallerToEnd end;
  end.connection = aShare.connection;
  end.limit = aLimit;
  end.held = aShare.held;
  end.late = this->clock.Now() - aShare.progressAt;
  const std::size_t intake = this->reading + this->requests;
  switch (aLimit) {
    case CallerLimit::ConnectionBytes:
      end.bound = this->limits.connectionBytes;
      end.seen = aShare.held.Sum();
      break;
    case CallerLimit::AddressBytes:
      end.bound = this->limits.addressBytes;
      end.seen = this->addresses.find(*aShare.address)->second.held.Sum();
      break;
    case CallerLimit::RequestBytes:
      end.bound = intake > this->RequestLimit()
                    ? this->RequestLimit()
                    : WithoutPartForSmall(this->RequestLimit());
      end.seen = intake;
      break;
    default:
      end.bound = this->limits.totalBytes;
      end.seen = intake + this->answers;
  }
  return end;
}

std::optional<CallerToEnd>
CallerMemory::ChooseIdle(
  std::size_t aMaxConnections,
  const std::function<bool(std::uint64_t)>& aMayEnd) const
{
  const Millis latest = this->clock.Now() - kMinIdleTime;
  const Share* chosen = nullptr;
  for (const Share* share : this->shares) {
    const bool isIdle =
      !share->isBusy && share->held.answers == 0 &&
      share->idleSince <= latest &&
      (share->held.reading == 0 || share->progressAt <= latest);
    if (!isIdle) {
      continue;
    }
    // Connections that never sent a whole request come first.
    const bool isBefore =
      chosen == nullptr ||
      std::pair(share->hasSentRequest, share->idleSince) <
        std::pair(chosen->hasSentRequest, chosen->idleSince);
    if (isBefore && aMayEnd(share->connection)) {
      chosen = share;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  CallerToEnd end = this->Describe(*chosen, CallerLimit::Connections);
  end.late = this->clock.Now() - chosen->idleSince;
  end.bound = aMaxConnections;
  end.seen = this->shares.size();
  return end;
}

void
CallerMemory::Abandon(std::uint64_t aRequest,
                      std::size_t aBytes,
                      const std::string& aAddress)
{
  const AbandonedRequest request{ aBytes, aAddress };
  if (!this->abandoned.emplace(aRequest, request).second) {
    return;
  }
  AddressUse& use = this->addresses[aAddress];
  ++use.abandoned;
  use.held.requests += aBytes;
  this->requests += aBytes;
}

void
CallerMemory::Release(std::uint64_t aRequest)
{
  const auto found = this->abandoned.find(aRequest);
  if (found == this->abandoned.end()) {
    return;
  }
  const AbandonedRequest& request = found->second;
  AddressUse& use = this->addresses.find(request.address)->second;
  --use.abandoned;
  use.held.requests -= request.bytes;
  this->requests -= request.bytes;
  this->RemoveIfUnused(request.address);
  this->abandoned.erase(found);
}

void
CallerMemory::RemoveIfUnused(const std::string& aAddress)
{
  const auto use = this->addresses.find(aAddress);
  if (use->second.connections == 0 && use->second.abandoned == 0) {
    this->addresses.erase(use);
  }
}

void
CallerMemory::CountRefused(CallerLimit aLimit)
{
  ++this->refused[static_cast<std::size_t>(aLimit)];
}

void
CallerMemory::CountClosed(CallerLimit aLimit)
{
  ++this->closed[static_cast<std::size_t>(aLimit)];
}

void
CallerMemory::CountDropped(CallerLimit aLimit)
{
  ++this->dropped[static_cast<std::size_t>(aLimit)];
}

CallerMemoryCounts
CallerMemory::Counts() const
{
  CallerMemoryCounts counts;
  counts.held = { this->reading, this->requests, this->answers };
  std::ranges::copy(this->refused, counts.refused.begin());
  std::ranges::copy(this->closed, counts.closed.begin());
  std::ranges::copy(this->dropped, counts.dropped.begin());
  return counts;
}

} // namespace lacewingwharf
