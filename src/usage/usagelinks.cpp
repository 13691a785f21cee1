#include "usage/usagelinks.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// The tokens of later replies have expired.
constexpr Millis kPendingTime = 5000;

} // namespace

UsageLinks::UsageLinks(std::string aHost,
                       std::int64_t aIncarnation,
                       UsageTimes aTimes)
  : host(std::move(aHost))
  , incarnation(aIncarnation)
  , times(aTimes)
{
}

void
UsageLinks::Prepare(const std::string& aTo,
                    wire::UsageRequest& aRequest,
                    Millis aNow)
{
  Link& link = this->links[aTo];
  aRequest.host = this->host;
  aRequest.incarnation = this->incarnation;
  aRequest.sequence = this->nextSequence++;
  aRequest.echo = link.stamp;
  aRequest.echoIncarnation = link.incarnation;
  link.sentAt = aNow;
  link.isDue = false;
  if (!link.unansweredSince) {
    link.unansweredSince = aNow;
  }
  std::erase_if(link.pending, [aNow](const auto& aPair) {
    return aPair.second.sentAt + kPendingTime < aNow;
  });
  link.pending.emplace(aRequest.sequence, Pending{ aNow, aRequest.needs });
}

std::optional<UsageLinks::Pending>
UsageLinks::Accept(const wire::UsageGrant& aGrant, Millis aNow)
{
  const auto found = this->links.find(aGrant.host);
  if (found == this->links.end()) {
    return std::nullopt;
  }
  Link& link = found->second;
  auto request = link.pending.extract(aGrant.sequence);
  if (request.empty()) {
    return std::nullopt;
  }
  link.repliedAt = aNow;
  link.unansweredSince.reset();
  // A lower incarnation may be the newer process, because the wall clock may
  // have been set back. A new process is sent a request at once, because one
  // without its stamp lends nothing.
  if (aGrant.incarnation == link.incarnation) {
    link.stamp = std::max(link.stamp, aGrant.stamp);
  } else if (aGrant.sequence > link.answered) {
    link.incarnation = aGrant.incarnation;
    link.stamp = aGrant.stamp;
    link.isDue = true;
  }
  link.answered = std::max(link.answered, aGrant.sequence);
  return std::move(request.mapped());
}

bool
UsageLinks::IsDue(const std::string& aTo, Millis aNow) const
{
  const auto found = this->links.find(aTo);
  return found == this->links.end() || found->second.isDue ||
         aNow >= found->second.sentAt + this->times.lendInterval;
}

void
UsageLinks::SetDue(const std::string& aTo)
{
  const auto found = this->links.find(aTo);
  if (found != this->links.end()) {
    found->second.isDue = true;
  }
}

bool
UsageLinks::IsSilent(const std::string& aTo, Millis aNow) const
{
  const auto found = this->links.find(aTo);
  return found != this->links.end() && found->second.unansweredSince &&
         aNow > *found->second.unansweredSince + this->times.silence;
}

void
UsageLinks::RestartSilence(Millis aNow)
{
  for (auto& [name, link] : this->links) {
    if (link.unansweredSince) {
      link.unansweredSince = aNow;
    }
  }
}

Millis
UsageLinks::AgeOf(const std::string& aTo, Millis aNow) const
{
  const auto found = this->links.find(aTo);
  return found == this->links.end() || found->second.repliedAt == 0
           ? -1
           : aNow - found->second.repliedAt;
}

void
UsageLinks::Keep(const std::vector<std::string>& aHosts)
{
  std::erase_if(this->links, [&aHosts](const auto& aPair) {
    return std::ranges::find(aHosts, aPair.first) == aHosts.end();
  });
}

} // namespace lacewingwharf
