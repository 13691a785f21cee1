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

// Gossip usually reports a new version while its push is still in transit. The
// delay lets the push arrive first.
constexpr Millis kMaxFetchJitter = 250;

// A new process reads from the platform at a random time within startwait
// divided by this number, so that the hosts of a region that restarts do not
// all read at once.
constexpr Millis kPlatformReadDivisor = 4;

// A document may be large, and many daemons may read it at the same time over a
// narrow link. The delay lets the short member list go first, so that peers are
// known while the document is read.
constexpr Millis kDocumentReadDelay = 100;

// In a region without the store, the reads are spread over startwait divided by
// this number. The first hosts that have read the document confirm it to the
// others, so that it crosses the link between the regions a few times only.
constexpr Millis kRemoteReadDivisor = 2;

Millis
RandomDelay(const Random& aRandom, Millis aBound)
{
  return static_cast<Millis>(RandomBelow(
    aRandom, static_cast<std::uint64_t>(std::max<Millis>(aBound, 1))));
}

Millis
DocumentReadDelay(const DistributorConfig& aConfig, const Random& aRandom)
{
  return aConfig.region == aConfig.platformRegion
           ? kDocumentReadDelay
           : kDocumentReadDelay +
               RandomDelay(aRandom, aConfig.startWait / kRemoteReadDivisor);
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
  , holder(this->config.maxKeptDeltas)
  , acceptor(
      this->config.host,
      this->clock,
      this->random,
      { this->hooks.submit,
        [this] { return this->HeldSnapshot(); },
        [this](const Delta& aDelta) { this->Offer(aDelta, "own acceptor"); } })
  , fetchPlan(this->clock, this->random)
  , fetchServer(this->clock, this->config.maxWholeTransfers)
  , relayPush(this->clock)
  , failover({ this->config.host,
               this->config.incarnation,
               this->RelayOrderKey(),
               this->config.rolloutTime },
             this->clock)
  , startRule(this->clock,
              this->config.startWait,
              this->HasAcceptor() ? StartRule::kDefaultRequiredAnswers : 0)
  , questions(this->clock)
  , platformReadDueAt(
      this->clock.Now() +
      (this->HasAcceptor()
         ? RandomDelay(this->random,
                       this->config.startWait / kPlatformReadDivisor)
         : DocumentReadDelay(this->config, this->random)))
  , aloneReadDueAt(this->HasAcceptor() ? this->platformReadDueAt
                                       : this->clock.Now() + kDocumentReadDelay)
  , heldSince(this->clock.Now())
{
}

void
Distributor::Tick()
{
  this->evidence.RecordTick(this->clock.Now());
  if (this->clock.Now() >= this->roleRefreshDueAt) {
    this->RefreshRoles();
  }
  if (!this->isStartupComplete || !this->startRule.MayPublish()) {
    this->AdvanceStartup();
  }
  this->SendDueFetch();
  this->SendDuePushes();
  this->SendDueHeartbeat();
  this->TickAcceptorRole();
}

bool
Distributor::IsBehind() const
{
  return this->fetchPlan.NewestPeerVersion() > this->HeldSnapshot()->Version();
}

OfferOutcome
Distributor::Offer(const Delta& aDelta, std::string_view aSource)
{
  const std::int64_t previous = this->HeldSnapshot()->Version();
  const OfferOutcome outcome = this->holder.Offer(aDelta);
  if (outcome == OfferOutcome::Refused) {
    this->fetchPlan.RequestWhole();
  }
  if (outcome != OfferOutcome::Taken) {
    kLog.Debug("version {} from {}: {}",
               aDelta.stamp.version,
               aSource,
               kOfferOutcomeNames.NameOf(outcome));
    return outcome;
  }
  kLog.Decision("version-taken",
                "version={} previous={} previous_held_ms={} from={}",
                aDelta.stamp.version,
                previous,
                this->clock.Now() - this->heldSince,
                aSource);
  this->heldSince = this->clock.Now();
  this->fetchPlan.RequestDeltas();
  this->hooks.onSnapshotChange(this->HeldSnapshot());
  return outcome;
}

void
Distributor::SendDueFetch()
{
  const auto request = this->fetchPlan.TakeDue(this->HeldSnapshot()->Version());
  if (request) {
    kLog.Debug(
      "fetching from {}: versions after {}", request->host, request->held);
    this->SendFetch(request->host, request->held);
  }
}

void
Distributor::SendDuePushes()
{
  for (const wire::ConfigBody& body : this->relayPush.TakeDue()) {
    this->SendPush(body, this->config.host);
  }
}

void
Distributor::TickAcceptorRole()
{
  if (!this->HasAcceptor()) {
    return;
  }
  this->acceptor.SetActive(this->IsAcceptor());
  // If a peer has a newer version, a round would publish from an outdated base.
  if (this->isStartupComplete && this->startRule.MayPublish() &&
      !this->IsBehind()) {
    this->acceptor.Tick();
  }
}

void
Distributor::SendPush(const wire::ConfigBody& aBody, const std::string& aRoot)
{
  if (!this->relayPush.RecordForward(aRoot, aBody.version)) {
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
    kLog.Error("cannot read the push from {}: {}",
               aFromHost,
               delta.assume_error().detail);
    return;
  }
  const OfferOutcome outcome = this->Offer(delta.assume_value(), aFromHost);
  if (outcome == OfferOutcome::Refused) {
    this->fetchPlan.RecordPeerVersion(
      aFromHost, aPush.body.version, kMaxFetchJitter);
    return;
  }
  this->relayPush.RecordArrival(aPush.body.version);
  if (outcome == OfferOutcome::NeedsFetch) {
    this->fetchPlan.RecordPeerVersion(aFromHost, aPush.body.version, 0);
  }
  // Forward the push even if the held version is not its base: members further
  // down the tree may have the base. A version that is already held is
  // forwarded too, because the tree of a second relay reaches members by
  // another path.
  if (aPush.body.version >= this->HeldSnapshot()->Version()) {
    this->SendPush(aPush.body, aPush.root);
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
  wire::ConfigAnswer answer =
    this->fetchServer.Answer(this->holder, aFetch.held);
  if (const auto confirmedAt = this->ConfirmedAt()) {
    answer.__set_confirmedMillis(this->clock.Now() - *confirmedAt);
  }
  if (aFetch.__isset.question) {
    answer.__set_question(aFetch.question);
  }
  wire::Envelope envelope;
  envelope.__set_configAnswer(answer);
  this->hooks.reply(aSession, envelope);
}

void
Distributor::HandleAnswer(const std::string& aFromHost,
                          const wire::ConfigAnswer& aAnswer)
{
  this->startRule.RecordPeerAnswer(aFromHost);
  this->fetchPlan.RecordAnswer(aFromHost);
  for (const wire::ConfigBody& body : aAnswer.bodies) {
    const auto delta = FromWire(body);
    if (!delta) {
      kLog.Error("cannot read the answer from {}: {}",
                 aFromHost,
                 delta.assume_error().detail);
      break;
    }
    const OfferOutcome outcome = this->Offer(delta.assume_value(), aFromHost);
    if (outcome == OfferOutcome::NeedsFetch) {
      this->fetchPlan.RequestWhole();
    } else if (outcome == OfferOutcome::Taken) {
      this->ForwardFetched(aFromHost, body);
    }
  }
  this->RecordConfirmation(aFromHost, aAnswer);
  if (aAnswer.held <= this->HeldSnapshot()->Version()) {
    return;
  }
  this->fetchPlan.RecordPeerVersion(
    aFromHost, aAnswer.held, this->isStartupComplete ? kMaxFetchJitter : 0);
  if (aAnswer.retryAfterMillis > 0) {
    this->fetchPlan.Postpone(aAnswer.retryAfterMillis);
  }
}

void
Distributor::HandlePeerVersion(const std::string& aHost, std::int64_t aVersion)
{
  if (aVersion > this->HeldSnapshot()->Version()) {
    this->fetchPlan.RecordPeerVersion(
      aHost, aVersion, this->isStartupComplete ? kMaxFetchJitter : 0);
  }
}

void
Distributor::OfferAcceptedVersion(const Delta& aDelta, bool aIsFullList)
{
  this->evidence.RecordVersion(aDelta.stamp.version);
  const OfferOutcome outcome = this->Offer(aDelta, "platform");
  if (outcome == OfferOutcome::NeedsFetch) {
    this->StartPlatformRead();
  }
  // A full list repeats old versions; only new ones are pushed to the members.
  const bool isNew = outcome == OfferOutcome::Taken || !aIsFullList;
  const bool isSender = this->relayRank || this->IsRelaySubstitute();
  if (isSender && isNew && outcome != OfferOutcome::Refused) {
    this->relayPush.SchedulePush(ToWire(aDelta), this->relayRank.value_or(0));
  }
}

void
Distributor::HandleAcceptedVersions(const PlatformResult<ObjectList>& aResult,
                                    bool aIsFullList)
{
  if (!aResult) {
    kLog.Warning("cannot read accepted versions: {} {}",
                 kPlatformErrorNames.NameOf(aResult.assume_error().code),
                 aResult.assume_error().detail);
    if (aResult.assume_error().code != PlatformErrorCode::Compacted) {
      this->failover.RecordStoreFailure();
    }
    return;
  }
  this->startRule.RecordPlatformAnswer();
  std::int64_t newest = 0;
  for (const AcceptedObject& object :
       DecodeAcceptedList(aResult.assume_value())) {
    newest = object.delta.stamp.version;
    this->OfferAcceptedVersion(object.delta, aIsFullList);
  }
  const bool isOlder = aIsFullList && newest < this->HeldSnapshot()->Version();
  if (isOlder && !this->isStoreOlder) {
    kLog.Warning(
      "the newest version in the store is {}, older than the held version {}",
      newest,
      this->HeldSnapshot()->Version());
    this->acceptor.RequestRound();
  }
  this->isStoreOlder = isOlder;
  this->SendDuePushes();
}

void
Distributor::HandleCatalogueChange(const PlatformResult<ObjectList>& aResult,
                                   bool /*aIsFullList*/)
{
  if (!aResult) {
    kLog.Warning("cannot read the catalogue: {} {}",
                 kPlatformErrorNames.NameOf(aResult.assume_error().code),
                 aResult.assume_error().detail);
    return;
  }
  // The round reads the catalogue again, after it has fixed the held version.
  this->acceptor.RequestRound();
  this->TickAcceptorRole();
}

} // namespace lacewingwharf
