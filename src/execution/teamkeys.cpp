#include "execution/teamkeys.h"

#include "common/sha256.h"

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr const char* kAuthorizationHeader = "Authorization";
constexpr std::string_view kBearerScheme = "bearer";
constexpr std::string_view kSpace = " \t";

// Relays send this number of heartbeats within the time in which a version must
// be in force. The next one may confirm the held version.
constexpr Millis kHeartbeatsPerRollout = 8;

std::string_view
Trimmed(std::string_view aText)
{
  const auto first = aText.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpace) - first + 1);
}

/** Schemes are compared without regard to case, as HTTP requires. */
bool
IsBearer(std::string_view aCredentials)
{
  const std::string_view text = Trimmed(aCredentials);
  return std::ranges::equal(
    text.substr(0, text.find_first_of(kSpace)),
    kBearerScheme,
    {},
    [](unsigned char aCharacter) { return std::tolower(aCharacter); });
}

/** Repeated lines of the header have been joined with commas. */
bool
HasBearer(std::string_view aValue)
{
  while (true) {
    const auto comma = aValue.find(',');
    if (IsBearer(aValue.substr(0, comma))) {
      return true;
    }
    if (comma == std::string_view::npos) {
      return false;
    }
    aValue.remove_prefix(comma + 1);
  }
}

/** Returns an empty text if the request has no key. */
std::string_view
KeyOf(const HttpHeaders& aHeaders)
{
  const auto header = aHeaders.find(kAuthorizationHeader);
  if (header == aHeaders.end() || !IsBearer(header->second)) {
    return {};
  }
  return Trimmed(Trimmed(header->second).substr(kBearerScheme.size()));
}

} // namespace

TeamKeys::TeamKeys(Clock aClock, Millis aMaxAge)
  : clock(std::move(aClock))
  , maxAge(aMaxAge)
{
}

void
TeamKeys::SetConfirmedAt(std::optional<Millis> aTime)
{
  this->confirmedAt = aTime;
}

std::optional<Refusal>
TeamKeys::Check(EntryCall& aCall) const
{
  const Snapshot& snapshot = *aCall.snapshot;
  if (!snapshot.RequiresKeys()) {
    return std::nullopt;
  }
  const std::string_view key = KeyOf(aCall.http.headers);
  aCall.team = key.empty() ? nullptr : snapshot.FindTeamByKey(Sha256Hex(key));
  if (aCall.team != nullptr || aCall.entry->isKeyExempt) {
    return std::nullopt;
  }
  return this->RefuseKey();
}

Refusal
TeamKeys::RefuseKey() const
{
  constexpr Millis kNeverConfirmed = -1;
  Refusal refusal;
  refusal.bound = this->maxAge;
  refusal.seen = this->confirmedAt ? this->clock.Now() - *this->confirmedAt
                                   : kNeverConfirmed;
  if (this->confirmedAt && refusal.seen <= this->maxAge) {
    refusal.reason = RefusalReason::UnknownKey;
    return refusal;
  }
  refusal.reason = RefusalReason::UnconfirmedKey;
  refusal.retryAfter =
    std::max<Millis>(this->maxAge / kHeartbeatsPerRollout, 1);
  return refusal;
}

void
ReplaceTeamHeaders(HttpHeaders& aHeaders,
                   const Entry* aTeam,
                   const std::string& aTeamHeader)
{
  const auto credentials = aHeaders.find(kAuthorizationHeader);
  if (credentials != aHeaders.end() && HasBearer(credentials->second)) {
    aHeaders.erase(credentials);
  }
  if (aTeamHeader.empty()) {
    return;
  }
  if (aTeam != nullptr) {
    aHeaders[aTeamHeader] = aTeam->owner;
  } else {
    aHeaders.erase(aTeamHeader);
  }
}

} // namespace lacewingwharf
