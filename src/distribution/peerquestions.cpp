#include "distribution/peerquestions.h"

namespace lacewingwharf {

namespace {

// Questions to a peer that is not reached must not accumulate. They are asked
// at most a few times a second, so that an answer to an older one than these is
// hardly of use as evidence. It is ignored.
constexpr std::size_t kMaxOpenQuestions = 8;

} // namespace

PeerQuestions::PeerQuestions(Clock aClock)
  : clock(std::move(aClock))
{
}

std::int64_t
PeerQuestions::Ask(const std::string& aHost)
{
  const Millis now = this->clock.Now();
  Peer& peer = this->peers.try_emplace(aHost, Peer{ now, {} }).first->second;
  peer.open.emplace(++this->lastNumber, now);
  if (peer.open.size() > kMaxOpenQuestions) {
    peer.open.erase(peer.open.begin());
  }
  return this->lastNumber;
}

std::optional<Millis>
PeerQuestions::TakeAskedAt(const std::string& aHost,
                           std::optional<std::int64_t> aNumber)
{
  const auto peer = this->peers.find(aHost);
  if (peer == this->peers.end() || peer->second.open.empty()) {
    return std::nullopt;
  }
  auto& open = peer->second.open;
  if (!aNumber) {
    open.erase(open.begin());
    return peer->second.firstAskedAt;
  }
  const auto question = open.extract(*aNumber);
  return question.empty() ? std::nullopt : std::optional(question.mapped());
}

} // namespace lacewingwharf
