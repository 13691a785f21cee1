#pragma once

#include "distribution/acceptedchain.h"
#include "distribution/acceptorrole.h"
#include "distribution/divergence.h"
#include "distribution/fetchplan.h"
#include "distribution/fetchserver.h"
#include "distribution/peerquestions.h"
#include "distribution/relayfailover.h"
#include "distribution/relaypush.h"
#include "distribution/startrule.h"
#include "distribution/versionevidence.h"
#include "distribution/versionholder.h"
#include "peer/peernetwork.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

struct DistributorConfig
{
  std::string host;
  std::int64_t incarnation = 0;
  /** Name of the failure domain or region whose hosts share relays. */
  std::string group;
  std::string region;
  std::string platformRegion;
  int relays = 2; // Number of relays in the group.
  int fanout = 8;
  Millis startWait = 2000;
  /** Time within which a new version must be in force on every daemon. */
  Millis rolloutTime = 12000;
  std::size_t maxKeptDeltas = 128;
  int maxWholeTransfers = 2;
};

/**
 * A whole version as operators wrote it. Used if the accepted versions do not
 * come from the fleet itself, so that no daemon is the acceptor.
 */
struct CatalogueDocument
{
  std::int64_t version = 0;
  std::vector<ChangedEntry> entries;
};

/** Functions of the daemon that the distributor uses. */
struct DistributorHooks
{
  std::function<void(const std::string& aHost, wire::Envelope)> send;
  std::function<void(SessionId, wire::Envelope)> reply;

  /** Returns the live hosts of the own group, including this one. */
  std::function<std::vector<std::string>()> groupMembers;

  /**
   * Returns the live hosts of the platform's region, or all live hosts if there
   * are none in that region.
   */
  std::function<std::vector<std::string>()> acceptorCandidates;
  SubmitPlatformJob submit;

  /** Called after each change of the held snapshot. */
  std::function<void(SnapshotPtr)> onSnapshotChange;

  /**
   * Reads the newest document. The result is empty if there is none yet.
   * Blocks. Not set if a daemon of this fleet is the acceptor.
   */
  std::function<PlatformResult<std::optional<CatalogueDocument>>(
    const ObjectStore&)>
    readDocument;

  /**
   * Returns the members of the group that may be relays. If it is not set, all
   * members may be relays.
   */
  std::function<std::vector<std::string>()> relayCandidates;

  /**
   * Sends a message that may be lost. If it is not set, heartbeats of relays
   * are neither sent nor expected.
   */
  std::function<void(const std::string& aHost, wire::Envelope)> sendDatagram{};

  /** Whether the last call of the watch for versions was answered. */
  std::function<bool()> isWatchWorking{};

  /** Returns the era of the store to send with heartbeats. Optional. */
  std::function<std::optional<std::int64_t>()> storeEra{};

  /**
   * Whether the members that the store lists are known. If it is not set, they
   * are known from the start.
   */
  std::function<bool()> hasReadMembers{};
};

/**
 * Keeps this daemon at the newest accepted version and forwards versions to
 * other daemons. Handles pushes along the push tree, fetches from and by peers,
 * the startup of the process, and the relay and acceptor roles. Runs on the
 * control thread.
 */
class Distributor
{
public:
  Distributor(DistributorConfig aConfig,
              Clock aClock,
              Random aRandom,
              DistributorHooks aHooks);

  void Tick();

  void HandlePush(const std::string& aFromHost, const wire::ConfigPush& aPush);
  void HandleFetch(SessionId aSession,
                   const std::string& aFromHost,
                   const wire::ConfigFetch& aFetch);
  void HandleAnswer(const std::string& aFromHost,
                    const wire::ConfigAnswer& aAnswer);

  /** To be called with the peer's version from each gossip datagram. */
  void HandlePeerVersion(const std::string& aHost, std::int64_t aVersion);

  void HandleRelayHeartbeat(const wire::RelayHeartbeat& aHeartbeat);

  /**
   * To be called after each answer to the watch for versions, once its changes
   * are handled. The store had no later change at aTime.
   */
  void HandleWatchAnswer(Millis aTime);

  /**
   * Returns the time of the last evidence that no version above the held one
   * exists; empty if there is none, or if there is a newer version.
   */
  std::optional<Millis> ConfirmedAt() const;

  /**
   * To be called when the era of the store has risen. A relay tells its group
   * at once, because the other daemons make no calls by which to notice it.
   */
  void HandleStoreRise();

  /** To be called when the store has refused the watch of this daemon. */
  void HandleStoreFailure();

  /** To be called for each gossip datagram that contains a content hash. */
  void HandlePeerContent(const std::string& aHost,
                         std::int64_t aVersion,
                         std::int32_t aShortHash);

  /**
   * Number of peers that hold different content under the held version number.
   */
  std::size_t DivergentPeerCount() const;

  /** Handle the results of watches and lists of accepted/ and catalogue/. */
  void HandleAcceptedVersions(const PlatformResult<ObjectList>& aResult,
                              bool aIsFullList);
  void HandleCatalogueChange(const PlatformResult<ObjectList>& aResult,
                             bool aIsFullList);

  /** Makes the next Tick() update the roles, instead of a later one. */
  void HandleMembershipChange();

  /** Handles a document that a watch or the read at startup has returned. */
  void HandleDocument(CatalogueDocument aDocument);

  /**
   * False until the startup is complete. A process that does not know any
   * members yet would otherwise take both roles and read the whole catalogue
   * from the platform.
   */
  bool IsRelay() const;
  bool IsAcceptor() const;

  /** Whether this daemon watches the store because its relays are silent. */
  bool IsRelaySubstitute() const;
  const SnapshotPtr& HeldSnapshot() const;

  /** True if the held version may be served. */
  bool IsReady() const;

  /** True while the store's newest version is older than the held one. */
  bool IsStoreOlder() const;

  /** Rejections of the last round; empty if this daemon is not the acceptor. */
  const std::vector<Rejection>& Rejections() const;

private:
  OfferOutcome Offer(const Delta& aDelta, std::string_view aSource);
  void RefreshRoles();
  void RefreshRelayRole();
  void AdvanceStartup();
  bool IsPlatformReadDue() const;
  bool IsAloneInGroup() const;
  void QueryPeers(std::vector<std::string> aHosts);
  void SendFetch(const std::string& aHost, std::int64_t aHeld);
  void RecordConfirmation(const std::string& aFromHost,
                          const wire::ConfigAnswer& aAnswer);
  bool IsConfirmedForStart() const;
  void StartPlatformRead();
  PlatformJob MakeChainJob();
  PlatformJob MakeDocumentJob();
  void HandleDocumentRead(
    const PlatformResult<std::optional<CatalogueDocument>>& aRead,
    Millis aStartedAt);
  bool HasAcceptor() const;
  void HandleChainRead(const PlatformResult<ChainReadResult>& aRead,
                       Millis aStartedAt);
  void SendDueFetch();
  void SendDuePushes();
  std::string RelayOrderKey() const;
  void SendDueHeartbeat();
  void SendHeartbeat(const wire::RelayHeartbeat& aHeartbeat);
  void TickAcceptorRole();
  void ForwardFetched(const std::string& aFromHost,
                      const wire::ConfigBody& aBody);
  void SendPush(const wire::ConfigBody& aBody, const std::string& aRoot);
  void OfferAcceptedVersion(const Delta& aDelta, bool aIsFullList);
  bool IsBehind() const;

  DistributorConfig config;
  Clock clock;
  Random random;
  DistributorHooks hooks;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  VersionHolder holder;
  AcceptorRole acceptor;
  FetchPlan fetchPlan;
  FetchServer fetchServer;
  RelayPush relayPush;
  RelayFailover failover;
  StartRule startRule;
  VersionEvidence evidence;
  PeerQuestions questions;
  bool isStartupComplete = false;
  bool isPlatformReadStarted = false;
  bool isPlatformReadRunning = false;
  Millis platformReadDueAt = 0;
  Millis aloneReadDueAt = 0; // The same while no other member is known.
  Millis roleRefreshDueAt = 0;
  Millis heldSince;                 // When the held version was taken.
  std::vector<std::string> members; // Of the own group, sorted.
  std::vector<std::string> relayCandidates;
  std::vector<std::string> acceptorCandidates;
  std::optional<int> relayRank;
  bool isAcceptor = false;
  bool isStoreOlder = false;
  DivergenceTracker divergence;
};

inline bool
Distributor::HasAcceptor() const
{
  return !this->hooks.readDocument;
}

inline bool
Distributor::IsRelay() const
{
  return this->isStartupComplete && this->relayRank.has_value();
}

inline bool
Distributor::IsRelaySubstitute() const
{
  return this->failover.IsSubstitute();
}

inline void
Distributor::HandleWatchAnswer(Millis aTime)
{
  this->evidence.Confirm(aTime);
}

inline void
Distributor::HandleStoreRise()
{
  this->failover.RequestHeartbeat();
}

inline void
Distributor::HandleStoreFailure()
{
  this->failover.RecordStoreFailure();
}

inline bool
Distributor::IsAcceptor() const
{
  return this->isStartupComplete && this->isAcceptor;
}

inline const SnapshotPtr&
Distributor::HeldSnapshot() const
{
  return this->holder.HeldSnapshot();
}

inline bool
Distributor::IsReady() const
{
  return this->isStartupComplete && this->HeldSnapshot()->Version() > 0;
}

inline bool
Distributor::IsStoreOlder() const
{
  return this->isStoreOlder;
}

inline const std::vector<Rejection>&
Distributor::Rejections() const
{
  return this->acceptor.Rejections();
}

inline void
Distributor::HandlePeerContent(const std::string& aHost,
                               std::int64_t aVersion,
                               std::int32_t aShortHash)
{
  this->divergence.Compare(*this->HeldSnapshot(), aHost, aVersion, aShortHash);
}

inline std::size_t
Distributor::DivergentPeerCount() const
{
  return this->divergence.PeerCount(*this->HeldSnapshot());
}

} // namespace lacewingwharf
