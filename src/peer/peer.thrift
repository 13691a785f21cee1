/**
 * Messages between daemons. Each frame and each datagram holds one Envelope in
 * the compact protocol. Field numbers are never reused. A change that older
 * daemons cannot read increases PROTOCOL_VERSION.
 */
namespace cpp lacewingwharf.wire

const i32 PROTOCOL_VERSION = 1

enum SessionKind {
  CONTROL = 1
  CALLS = 2
}

enum EndpointState {
  STARTING = 1
  READY = 2
  DRAINING = 3
}

/**
 * In merge order: of two records with equal incarnation and sequence, the one
 * with the higher state is kept.
 */
enum MemberState {
  ALIVE = 1
  SUSPECT = 2
  DEAD = 3
  LEFT = 4
}

enum CallOutcome {
  DONE = 1
  NOT_RUN = 2
  UNKNOWN = 3
}

struct Hello {
  1: i32 protocol
  2: string host
  3: i64 incarnation
  4: string region
  5: string domain
  6: SessionKind kind
}

struct Endpoint {
  1: string serviceName
  2: i32 port
  3: i32 slots
  4: i32 connections
  5: EndpointState state
  /** As the server reports it; only where rollouts are enabled. */
  6: optional string serverVersion
}

struct MemberRecord {
  1: string host
  2: string address
  3: i32 peerPort
  4: string region
  5: string domain
  6: i64 incarnation
  7: i64 sequence
  8: MemberState state
  9: list<Endpoint> endpoints
  /** The store refused this member recently, so it cannot be a relay. */
  10: optional bool isStoreLost
  /**
   * Wall clock in milliseconds when the member was declared dead or left, so
   * that all members forget the record at the same time.
   */
  11: optional i64 endedAt
}

/**
 * A crash report: the number of backend servers that one host counted as
 * lost while they ran the request with this digest.
 */
struct QuarantineMark {
  1: i64 digest
  2: i32 losses
  3: i32 remainingMillis
  /** Hash of the host that counted. Counts of different hosts are added. */
  4: i64 origin
}

struct Ping {
  1: i64 sequence
  2: string host
  3: i64 version
  4: list<MemberRecord> updates
  5: list<QuarantineMark> marks
  /** Not used: the receiver of a PingRequest forwards the Ack itself. */
  6: optional string onBehalfOf
  /** Low half of the content hash of version; 0 when not stated. */
  7: i32 contentHash
  /** Highest era of the store that the sender knows. */
  31: optional i64 storeEra
}

struct Ack {
  /** Sequence of the Ping; 0 for updates that are pushed along a tree. */
  1: i64 sequence
  2: string host
  3: i64 version
  4: list<MemberRecord> updates
  5: list<QuarantineMark> marks
  /** Low half of the content hash of version; 0 when not stated. */
  6: i32 contentHash
  /** Highest era of the store that the sender knows. */
  31: optional i64 storeEra
}

struct PingRequest {
  1: i64 sequence
  2: string host
  3: string target
}

struct MemberSync {
  1: list<MemberRecord> records
  2: bool isReply
  /** A hash per bucket of the sender's table. Empty to request all records. */
  3: list<i64> buckets
  /** In a reply: the buckets that differ. Their records are included. */
  4: list<i32> differing
  /** Positive when the peer is busy: repeat the request after this time. */
  5: i32 retryAfterMillis
  /** In a reply: whether the sender knows all members of its group. */
  6: optional bool isComplete
}

struct SampledEndpoint {
  1: string host
  2: string address
  3: i32 peerPort
  4: i32 slots
  5: i64 incarnation
  /** Port of the backend server on its host. */
  6: i32 port
}

struct ServiceSummary {
  1: string serviceName
  2: i32 ready
  3: i32 slots
  4: i32 freeSlots
  /** 100 times the mean ratio of time in the system to service time. */
  5: i32 slowdownPercent
  6: list<SampledEndpoint> sample
  /**
   * Of two summaries of a service, the one with the higher stamp is kept. The
   * stamp is never higher than that of the domain's summary.
   */
  7: i64 stamp
}

struct DomainSummary {
  1: string region
  2: string domain
  /**
   * Wall-clock milliseconds of the relay that created the summary. Of two
   * summaries of a domain, the one with the higher stamp is kept.
   */
  3: i64 stamp
  4: list<ServiceSummary> services
  /** Some members of the domain, to which requests can be sent. */
  5: list<MemberRecord> contacts
  /** Services unchanged since this stamp are omitted; 0 if none are. */
  6: i64 base
  /**
   * Set in a request for the services in the buckets that differ. The request
   * contains no services.
   */
  7: bool isRequest
  /** Root of the push tree that forwards it in the receiving domain. */
  8: string root
  /** A hash per bucket of the sender's services, in requests and refreshes. */
  9: list<i64> buckets
}

struct ServiceLoad {
  1: string serviceName
  2: i32 freeSlots
  3: i32 slowdownPercent
}

/** Load of one host, sent only to the relays of its failure domain. */
struct LoadReport {
  1: string host
  2: list<ServiceLoad> services
}

/** One changed entry of the catalogue. The text is its JSON. */
struct EntryText {
  1: string name
  2: i64 revision
  3: string text
}

/**
 * A whole snapshot if whole is set, otherwise the delta from the version base
 * to version.
 */
struct ConfigBody {
  1: i64 base
  2: i64 version
  3: i64 contentHash
  4: i64 storeEpoch
  5: i64 floorRevision
  6: list<EntryText> changed
  7: list<string> removed
  8: bool whole
}

struct ConfigPush {
  /** Root of the push tree that forwards this push. */
  1: string root
  2: ConfigBody body
}

struct ConfigFetch {
  /**
   * The version held by the sender. 0 requests a whole snapshot, and the
   * maximum value requests only the version number of the peer.
   */
  1: i64 held
  /** Number of the question, which the answer repeats. */
  2: optional i64 question
}

struct ConfigAnswer {
  /** The version held by the daemon that answers. */
  1: i64 held
  2: list<ConfigBody> bodies
  /** Positive when the peer is busy: repeat the request after this time. */
  3: i32 retryAfterMillis
  /**
   * Milliseconds since the sender knew that the store had no version above
   * `held`; missing if it does not know.
   */
  4: optional i64 confirmedMillis
  /** `question` of the ConfigFetch that this answers; missing if it had none. */
  5: optional i64 question
}

/** The body of a request that is sent in parts, when they are granted. */
struct BodyAnnouncement {
  1: i64 bytes
  /**
   * Port of the backend server. That of the request is 0, so that a daemon of an
   * earlier build refuses the request instead of running it without its body.
   */
  2: i32 port
}

struct CallRequest {
  1: string callId
  2: string entry
  3: string serviceName
  4: i32 port
  5: string method
  6: string target
  7: map<string, string> headers
  8: binary body
  9: i64 remainingMillis
  10: bool idempotent
  11: i32 depth
  12: string callerHost
  13: i64 version
  /** Digest of method, path and body, or of the key, for the quarantine. */
  14: i64 digest
  /** Owner of the entry, for a destination without the entry. */
  15: string owner
  /** Index in the list of classes of work, most important first. */
  16: i32 workClass
  17: i32 queueMillis
  /** Remaining part of the route's target time; 0 when it has none. */
  18: i32 targetMillis
  /** Set when the request is sent without its body. */
  19: optional BodyAnnouncement announcement
}

/** From the destination daemon: the link has room for a part of the body. */
struct BodyGrant {
  1: string callId
  /** Bytes of the body that may have been sent, from its beginning. */
  2: i64 bytes
}

struct BodyPart {
  1: string callId
  2: i64 offset
  3: binary data
}

struct CallAnswer {
  1: string callId
  2: CallOutcome outcome
  3: i32 status
  4: map<string, string> headers
  5: binary body
  6: i64 bodyHash
  7: string reason
  8: string owner
  9: string limit
  10: i32 retryAfterMillis
  /** Load of the endpoint when the answer was sent. */
  11: i32 running
  12: i32 waiting
  13: i32 slots
  14: bool serverLost
  15: i32 serviceMicros
  /** The bound of the limit that refused the call and the measured value. */
  16: i64 bound
  17: i64 seen
  /** The body ended with the backend server's connection, without a length. */
  18: optional bool endsWithConnection
}

struct CallCancel {
  1: string callId
}

struct CallQuery {
  1: string callId
  /** Incarnation of the destination to which the call was sent. */
  2: i64 incarnation
}

enum ClaimState {
  HELD = 1
  DONE = 2
  RELEASED = 3
}

enum ClaimResult {
  GRANTED = 1
  DUPLICATE = 2
  UNAVAILABLE = 3
}

struct ClaimRequest {
  1: i64 keyHash
  2: string holder
  3: ClaimState wanted
}

struct ClaimAnswer {
  1: i64 keyHash
  2: string holder
  3: ClaimResult result
  /** Repeats the state of the request, because answers may arrive late. */
  4: ClaimState wanted
}

/** One claim in a shard object. */
struct Claim {
  1: i64 keyHash
  /** Omitted once the claim is done, because it is no longer needed. */
  2: optional string holder
  3: ClaimState state
  /** Wall-clock milliseconds of the last change, used to prune old claims. */
  4: i64 wallMillis
}

/** The value of a store object claims/SHARD. */
struct ClaimShardValue {
  1: list<Claim> claims
}

struct EntryReport {
  1: string entry
  2: string owner
  3: i64 calls
  4: i64 refused
  5: i64 slow
  6: i32 p50Micros
  7: i32 p99Micros
  /** The limit reached most often, with its bound and the measured value. */
  8: string limit
  9: i64 bound
  10: i64 seen
  11: i64 sinceWallMillis
  12: list<string> callers
  13: i64 unknown
}

struct StatusReport {
  1: string host
  2: string domain
  3: i64 version
  4: list<EntryReport> entries
}

struct Heartbeat {
  1: i64 sequence
}

/** Sent along the push tree by a relay, or a substitute for one. */
struct RelayHeartbeat {
  1: string relay
  2: i64 incarnation
  3: i64 sequence
  /** The version that the relay holds. */
  4: i64 version
  /** Whether the sender's watch of the store works. */
  5: bool isWatching
  /**
   * Milliseconds since the sender knew that the store had no version above
   * `version`; missing if it does not know.
   */
  6: optional i64 confirmedMillis
  /** Highest era of the store that the sender knows. */
  31: optional i64 storeEra
}

/**
 * The shutdown notice, the last frame of a daemon that stops. Requests on the
 * session that were not answered before it have not run and will not run.
 */
struct Farewell {
  1: string reason
}

/** Tokens of one team that an entry daemon needs. */
struct UsageNeed {
  1: string team
  2: i32 wanted
  /** Calls that wait, and those refused without a request since the last. */
  3: i32 waiting
}

/** Unspent tokens that the sender can no longer spend. */
struct UsageReturn {
  1: string team
  /** Of the request for which the tokens were granted. */
  2: i64 sequence
  3: i32 count
}

/** From a daemon to an accountant: loans, needs and unspent tokens. */
struct UsageRequest {
  1: string host
  2: i64 incarnation
  3: i64 sequence
  /** Newest stamp seen from this accountant; 0 lends nothing. */
  4: i64 echo
  /** Incarnation of the accountant that sent the stamp. */
  5: i64 echoIncarnation
  /** Number of members by which the sender divides caps. */
  6: i32 members
  /** The halves that are lent: bit 2 x group + half. */
  7: i32 lent
  8: list<UsageNeed> needs
  9: list<UsageReturn> returns
}

struct UsageAnswer {
  1: string team
  2: i32 granted
  /** When tokens are lacking: time until one is free; otherwise 0. */
  3: i32 retryAfterMillis
  /** Tokens left in the pool; -1 when no half is lent to it. */
  4: i32 left
}

/** The reply of an accountant to a UsageRequest. */
struct UsageGrant {
  1: string host
  2: i64 incarnation
  /** Of the request. */
  3: i64 sequence
  /** Milliseconds of the accountant's clock, for UsageRequest.echo. */
  4: i64 stamp
  5: list<UsageAnswer> answers
}

enum RolloutState {
  /** There was no order for the service. */
  NONE = 1
  RUNNING = 2
  SUCCEEDED = 3
  ROLLED_BACK = 4
}

/** What a daemon saw of one route since the order; cumulative. */
struct RolloutCounts {
  1: string route
  /** Whether these are answers of the target version. */
  2: bool isTarget
  3: i32 answers
  4: i32 failures
  /** Answers per range of service times, without trailing zeros. */
  5: list<i32> times
}

/** Sent by an entry daemon to the daemon that decides a rollout. */
struct RolloutReport {
  1: string host
  2: i64 incarnation
  3: string serviceName
  /** Number of the order; higher for a later order of the service. */
  4: i64 order
  5: RolloutState state
  /** Monotonic milliseconds of the sender. */
  6: i64 stamp
  /** Sequence of the newest share that the sender obeys. */
  7: i64 sequence
  /** Requests sent to servers of the service since the order. */
  8: i64 requests
  /** Those of them that were sent to the target version. */
  9: i64 exposed
  /** Requests that run now on servers of other versions. */
  10: i32 othersRunning
  /** Routes with changes; a report may omit any of them. */
  11: list<RolloutCounts> counts
}

/** The state of a rollout and what one entry daemon may send. */
struct RolloutShare {
  1: string decider
  2: string serviceName
  3: i64 order
  4: RolloutState state
  5: string targetVersion
  6: string baseVersion
  /** Higher for a later share; a new decider continues above the old one. */
  7: i64 sequence
  /** Requests since the order that may be sent to the target version. */
  8: i64 limit
  /** Incarnation and newest stamp of the receiver; 0 before its first report. */
  9: i64 incarnation
  10: i64 echo
  /** The limit is valid until echo plus this time by the receiver's clock. */
  11: i32 validMillis
  /** All requests go to the target version, so that the others become idle. */
  12: bool isStretch
  /** Servers of the target version that get requests; 0 for all. */
  13: i32 servers
  /** Era of the store in which it had this state; 0 if it reports none. */
  14: i64 storeEra
  /** Incarnation of the decider; 0 if another daemon tells of an end. */
  15: i64 deciderIncarnation
}

/** Exactly one field is set. */
struct Envelope {
  1: optional Hello hello
  2: optional Ping ping
  3: optional Ack ack
  4: optional PingRequest pingRequest
  5: optional MemberSync memberSync
  6: optional DomainSummary domainSummary
  7: optional ConfigPush configPush
  8: optional ConfigFetch configFetch
  9: optional ConfigAnswer configAnswer
  10: optional CallRequest callRequest
  11: optional CallAnswer callAnswer
  12: optional CallCancel callCancel
  13: optional CallQuery callQuery
  14: optional ClaimRequest claimRequest
  15: optional ClaimAnswer claimAnswer
  16: optional StatusReport statusReport
  17: optional Heartbeat heartbeat
  18: optional LoadReport loadReport
  19: optional Farewell farewell
  20: optional RelayHeartbeat relayHeartbeat
  21: optional UsageRequest usageRequest
  22: optional UsageGrant usageGrant
  23: optional RolloutReport rolloutReport
  24: optional RolloutShare rolloutShare
  25: optional BodyGrant bodyGrant
  26: optional BodyPart bodyPart
}
