#include "distribution/distributor.h"

#include "common/hash.h"
#include "common/log.h"
#include "distribution/pushtree.h"
#include "distribution/wireconversion.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

// Comparing all members costs more than anything else in Tick(); they are
// ordered by hash only when they changed.
constexpr Millis kRoleInterval = 500;

// Gossip usually reports a new version while its push is still on the way.
constexpr Millis kFetchJitter = 250;

// New processes ask the platform at a random time in this part of startwait,
// so that the hosts of a region that restarts do not ask at once.
constexpr Millis kPlatformAskShare = 4;

// A document may be large, and many daemons may read it at once over a narrow
// link. The short list of members goes first, so that peers are known
// meanwhile.
constexpr Millis kDocumentDelay = 100;

// Feeders beside the usual ones while the store turns some members away.
constexpr int kSpareFeeders = 2;

Millis
PlatformDelay(const Random& aRandom, Millis aStartWait)
{
  const Millis bound = std::max<Millis>(aStartWait / kPlatformAskShare, 1);
  return static_cast<Millis>(
    RandomBelow(aRandom, static_cast<std::uint64_t>(bound)));
}

std::optional<int>
RankOf(const std::vector<std::string>& aOrder,
       const std::string& aHost,
       int aCount)
{
  const auto found = std::ranges::find(aOrder, aHost);
  const auto rank = static_cast<int>(found - aOrder.begin());
  if (found == aOrder.end() || rank >= aCount) {
    return std::nullopt;
  }
  return rank;
}

wire::Envelope
FetchEnvelope(std::int64_t aHeld)
{
  wire::ConfigFetch fetch;
  fetch.held = aHeld;
  wire::Envelope envelope;
  envelope.__set_configFetch(fetch);
  return envelope;
}

} // namespace

Distributor::Distributor(DistributorConfig aConfig,
                         Clock aClock,
                         Random aRandom,
                         DistributorHooks aHooks)
  : config(std::move(aConfig))
  , clock(std::move(aClock))
  , random(std::move(aRandom))
  , hooks(std::move(aHooks))
  , holder(this->config.keptDeltas)
  , acceptor(
      this->config.host,
      this->clock,
      this->random,
      { this->hooks.submit,
        [this] { return this->HeldSnapshot(); },
        [this](const Delta& aDelta) { this->Offer(aDelta, "own acceptor"); } })
  , fetchPlan(this->clock, this->random)
  , fetchServer(this->clock, this->config.maxWholeTransfers)
  , feederPush(this->clock)
  , startRule(this->clock,
              this->config.startWait,
              this->HasAcceptor() ? StartRule::kDefaultPeersToHear : 0)
  , platformDueAt(this->clock.Now() +
                  (this->HasAcceptor()
                     ? PlatformDelay(this->random, this->config.startWait)
                     : kDocumentDelay))
{
}

void
Distributor::Tick()
{
  if (this->clock.Now() >= this->rolesDueAt) {
    this->RefreshRoles();
  }
  if (!this->isStartOver || !this->startRule.MayPublish()) {
    this->TickStart();
  }
  this->TickFetch();
  this->TickPush();
  this->TickAcceptor();
}

void
Distributor::RefreshRoles()
{
  this->rolesDueAt = this->clock.Now() + kRoleInterval;
  std::vector<std::string> live = this->hooks.groupMembers();
  std::ranges::sort(live);
  const bool isChanged = live != this->members;
  this->members = std::move(live);
  std::vector<std::string> feeding =
    this->hooks.relayCandidates ? this->hooks.relayCandidates() : this->members;
  if (isChanged || feeding != this->relayCandidates) {
    this->relayCandidates = std::move(feeding);
    this->RefreshFeeders();
  }
  std::vector<std::string> candidates = this->hooks.acceptorCandidates();
  if (candidates != this->candidates) {
    this->candidates = std::move(candidates);
    this->isAcceptor = this->HasAcceptor() &&
                       RankOf(RendezvousOrder("acceptor", this->candidates),
                              this->config.host,
                              1)
                         .has_value();
  }
}

void
Distributor::HandleMembershipChange()
{
  this->rolesDueAt = 0;
}

void
Distributor::RefreshFeeders()
{
  // The next candidates may be turned away like those that are left out.
  const bool isShort = this->relayCandidates.size() < this->members.size();
  const auto rank = RankOf(
    RendezvousOrder("feeder/" + this->config.group, this->relayCandidates),
    this->config.host,
    this->config.relays + (isShort ? kSpareFeeders : 0));
  if (rank.has_value() != this->feederRank.has_value()) {
    kLog.Info("{} {} a feeder of {}",
              this->config.host,
              rank ? "is" : "is no longer",
              this->config.group);
  }
  this->feederRank = rank;
}

bool
Distributor::IsBehind() const
{
  return this->fetchPlan.NewestSeen() > this->HeldSnapshot()->Version();
}

void
Distributor::TickStart()
{
  this->AskPeers(this->members);
  this->AskPeers(this->candidates);
  if (!this->isPlatformAsked && this->clock.Now() >= this->platformDueAt) {
    this->isPlatformAsked = true;
    this->AskPlatform();
  }
  if (this->isStartOver) {
    return;
  }
  this->isStartOver = this->startRule.IsOver(this->IsBehind());
  if (this->isStartOver) {
    kLog.Info("start is over with version {}", this->HeldSnapshot()->Version());
  }
}

void
Distributor::AskPeers(std::vector<std::string> aHosts)
{
  std::erase(aHosts, this->config.host);
  if (aHosts.empty()) {
    return;
  }
  // A start at random spreads the questions over the members.
  const auto first =
    static_cast<std::ptrdiff_t>(RandomBelow(this->random, aHosts.size()));
  std::rotate(aHosts.begin(), aHosts.begin() + first, aHosts.end());
  for (const std::string& host : this->startRule.TakeDue(aHosts)) {
    this->hooks.send(host, FetchEnvelope(kVersionQuery));
  }
}

void
Distributor::AskPlatform()
{
  if (this->isPlatformBusy) {
    return;
  }
  this->isPlatformBusy = true; // Before submit, which may run the job at once.
  const bool isSubmitted = this->hooks.submit(
    this->HasAcceptor() ? this->ChainJob() : this->DocumentJob());
  if (!isSubmitted) {
    this->isPlatformBusy = false;
  }
}

PlatformJob
Distributor::ChainJob()
{
  const std::weak_ptr<bool> guard = this->alive;
  const std::int64_t held = this->HeldSnapshot()->Version();
  return [this, guard, held](const ObjectStore& aStore) {
    return Completion([this, guard, read = ReadChain(aStore, held)] {
      if (!guard.expired()) {
        this->PlatformAnswered(read);
      }
    });
  };
}

void
Distributor::PlatformAnswered(const PlatformResult<ChainRead>& aRead)
{
  this->isPlatformBusy = false;
  if (!aRead) {
    kLog.Warning("the platform did not answer: {} {}",
                 kPlatformErrorNames.NameOf(aRead.assume_error().code),
                 aRead.assume_error().detail);
    return;
  }
  this->startRule.PlatformAnswered();
  for (const Delta& delta : aRead.assume_value().deltas) {
    this->Offer(delta, "platform");
  }
}

OfferOutcome
Distributor::Offer(const Delta& aDelta, std::string_view aSource)
{
  const OfferOutcome outcome = this->holder.Offer(aDelta);
  if (outcome == OfferOutcome::Refused) {
    this->fetchPlan.WantWhole();
  }
  if (outcome != OfferOutcome::Taken) {
    kLog.Debug("version {} from {}: {}",
               aDelta.stamp.version,
               aSource,
               kOfferOutcomeNames.NameOf(outcome));
    return outcome;
  }
  kLog.Info("{} holds version {} from {}",
            this->config.host,
            aDelta.stamp.version,
            aSource);
  this->fetchPlan.Progressed();
  this->hooks.onSnapshotChange(this->HeldSnapshot());
  return outcome;
}

void
Distributor::TickFetch()
{
  const auto request = this->fetchPlan.TakeDue(this->HeldSnapshot()->Version());
  if (request) {
    kLog.Debug("fetch from {} after version {}", request->host, request->held);
    this->hooks.send(request->host, FetchEnvelope(request->held));
  }
}

void
Distributor::TickPush()
{
  for (const wire::ConfigBody& body : this->feederPush.TakeDue()) {
    this->Push(body, this->config.host);
  }
}

void
Distributor::TickAcceptor()
{
  if (!this->HasAcceptor()) {
    return;
  }
  this->acceptor.SetActive(this->IsAcceptor());
  // An acceptor that knows of a newer version would publish from an old base.
  if (this->isStartOver && this->startRule.MayPublish() && !this->IsBehind()) {
    this->acceptor.Tick();
  }
}

void
Distributor::Push(const wire::ConfigBody& aBody, const std::string& aRoot)
{
  if (!this->feederPush.ShouldPassOn(aRoot, aBody.version)) {
    return;
  }
  wire::ConfigPush push;
  push.root = aRoot;
  push.body = aBody;
  wire::Envelope envelope;
  envelope.__set_configPush(push);
  for (const std::string& child : PushTreeChildren(
         this->members, aRoot, this->config.host, this->config.fanout)) {
    this->hooks.send(child, envelope);
  }
}

void
Distributor::HandlePush(const std::string& aFromHost,
                        const wire::ConfigPush& aPush)
{
  const auto delta = FromWire(aPush.body);
  if (!delta) {
    kLog.Error("push from {}: {}", aFromHost, delta.assume_error().detail);
    return;
  }
  const OfferOutcome outcome = this->Offer(delta.assume_value(), aFromHost);
  if (outcome == OfferOutcome::Refused) {
    this->fetchPlan.Noticed(aFromHost, aPush.body.version, kFetchJitter);
    return;
  }
  this->feederPush.Arrived(aPush.body.version);
  if (outcome == OfferOutcome::NeedsFetch) {
    this->fetchPlan.Noticed(aFromHost, aPush.body.version, 0);
  }
  // Members below this one may have the base that this one lacks, and a
  // second feeder's tree reaches them by another way.
  if (aPush.body.version >= this->HeldSnapshot()->Version()) {
    this->Push(aPush.body, aPush.root);
  }
}

void
Distributor::HandleFetch(SessionId aSession,
                         const std::string& aFromHost,
                         const wire::ConfigFetch& aFetch)
{
  if (aFetch.held != kVersionQuery) {
    this->HandlePeerVersion(aFromHost, aFetch.held);
  }
  wire::Envelope envelope;
  envelope.__set_configAnswer(
    this->fetchServer.Answer(this->holder, aFetch.held));
  this->hooks.reply(aSession, envelope);
}

void
Distributor::HandleAnswer(const std::string& aFromHost,
                          const wire::ConfigAnswer& aAnswer)
{
  this->startRule.PeerAnswered(aFromHost);
  this->fetchPlan.Answered(aFromHost);
  for (const wire::ConfigBody& body : aAnswer.bodies) {
    const auto delta = FromWire(body);
    if (!delta) {
      kLog.Error("answer from {}: {}", aFromHost, delta.assume_error().detail);
      break;
    }
    if (this->Offer(delta.assume_value(), aFromHost) ==
        OfferOutcome::NeedsFetch) {
      this->fetchPlan.WantWhole();
    }
  }
  if (aAnswer.held <= this->HeldSnapshot()->Version()) {
    return;
  }
  this->fetchPlan.Noticed(
    aFromHost, aAnswer.held, this->isStartOver ? kFetchJitter : 0);
  if (aAnswer.retryAfterMillis > 0) {
    this->fetchPlan.Postpone(aAnswer.retryAfterMillis);
  }
}

void
Distributor::HandlePeerVersion(const std::string& aHost, std::int64_t aVersion)
{
  if (aVersion > this->HeldSnapshot()->Version()) {
    this->fetchPlan.Noticed(
      aHost, aVersion, this->isStartOver ? kFetchJitter : 0);
  }
}

void
Distributor::TakeAccepted(const Delta& aDelta, bool aIsFullList)
{
  const OfferOutcome outcome = this->Offer(aDelta, "platform");
  if (outcome == OfferOutcome::NeedsFetch) {
    this->AskPlatform();
  }
  // A full list repeats old versions; only what is new goes to the members.
  const bool isNews = outcome == OfferOutcome::Taken || !aIsFullList;
  if (this->feederRank && isNews && outcome != OfferOutcome::Refused) {
    this->feederPush.Add(ToWire(aDelta), *this->feederRank);
  }
}

void
Distributor::HandleAcceptedVersions(const PlatformResult<ObjectList>& aResult,
                                    bool aIsFullList)
{
  if (!aResult) {
    kLog.Warning("accepted versions cannot be read: {} {}",
                 kPlatformErrorNames.NameOf(aResult.assume_error().code),
                 aResult.assume_error().detail);
    return;
  }
  this->startRule.PlatformAnswered();
  std::int64_t newest = 0;
  for (const AcceptedObject& object : DecodeList(aResult.assume_value())) {
    newest = object.delta.stamp.version;
    this->TakeAccepted(object.delta, aIsFullList);
  }
  const bool isOlder = aIsFullList && newest < this->HeldSnapshot()->Version();
  if (isOlder && !this->isStoreOlder) {
    kLog.Warning("the store's newest version is {}, held is {}",
                 newest,
                 this->HeldSnapshot()->Version());
    this->acceptor.RequestRound();
  }
  this->isStoreOlder = isOlder;
  this->TickPush();
}

void
Distributor::HandleCatalogueChange(const PlatformResult<ObjectList>& aResult,
                                   bool /*aIsFullList*/)
{
  if (!aResult) {
    kLog.Warning("the catalogue cannot be read: {} {}",
                 kPlatformErrorNames.NameOf(aResult.assume_error().code),
                 aResult.assume_error().detail);
    return;
  }
  // The round reads the catalogue again, after the held version is fixed.
  this->acceptor.RequestRound();
  this->TickAcceptor();
}

} // namespace lacewingwharf
