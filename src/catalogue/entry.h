#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "common/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

enum class EntryKind
{
  Service,
  Route,
  Owner,
  Listener,
  Team
};

/** Classes of work, most important first. */
enum class WorkClass
{
  Critical,
  Interactive,
  Internal,
  Batch
};

enum class HttpMethod
{
  Get,
  Head,
  Options,
  Put,
  Delete,
  Post,
  Patch
};

inline constexpr auto kEntryKindNames =
  MakeNameTable<EntryKind>({ { EntryKind::Service, "service" },
                             { EntryKind::Route, "route" },
                             { EntryKind::Owner, "owner" },
                             { EntryKind::Listener, "listener" },
                             { EntryKind::Team, "team" } });

inline constexpr auto kWorkClassNames =
  MakeNameTable<WorkClass>({ { WorkClass::Critical, "critical" },
                             { WorkClass::Interactive, "interactive" },
                             { WorkClass::Internal, "internal" },
                             { WorkClass::Batch, "batch" } });

inline constexpr auto kHttpMethodNames =
  MakeNameTable<HttpMethod>({ { HttpMethod::Get, "GET" },
                              { HttpMethod::Head, "HEAD" },
                              { HttpMethod::Options, "OPTIONS" },
                              { HttpMethod::Put, "PUT" },
                              { HttpMethod::Delete, "DELETE" },
                              { HttpMethod::Post, "POST" },
                              { HttpMethod::Patch, "PATCH" } });

enum class CatalogueErrorCode
{
  BadJson,
  BadField,
  DanglingReference,
  DuplicateMatch,
  IncompleteChange,
  TooLarge,
  WrongBase,
  HashMismatch
};

inline constexpr auto kCatalogueErrorNames = MakeNameTable<CatalogueErrorCode>(
  { { CatalogueErrorCode::BadJson, "bad-json" },
    { CatalogueErrorCode::BadField, "bad-field" },
    { CatalogueErrorCode::DanglingReference, "dangling-reference" },
    { CatalogueErrorCode::DuplicateMatch, "duplicate-match" },
    { CatalogueErrorCode::IncompleteChange, "incomplete-change" },
    { CatalogueErrorCode::TooLarge, "too-large" },
    { CatalogueErrorCode::WrongBase, "wrong-base" },
    { CatalogueErrorCode::HashMismatch, "hash-mismatch" } });

/**
 * Why catalogue content was refused; entry is empty when the error concerns the
 * content as a whole.
 */
struct CatalogueError
{
  CatalogueErrorCode code = CatalogueErrorCode::BadJson;
  std::string entry;
  std::string detail;
};

template<typename Value>
using CatalogueResult = Result<Value, CatalogueError>;

/** Limits for the calls of an entry or owner; 0 means no limit. */
struct Limits
{
  int concurrency = 0;
  int ratePerSecond = 0;
  Millis deadline = 5000;

  /** Time within which an answer is fully useful; 0 means no target. */
  Millis target = 0;
  Millis queueWait = 500;
  std::int64_t bodyBytes = 1048576;
  int retries = 1;
};

/** The longest head of a request that a listener entry can allow. */
inline constexpr std::int64_t kMaxListenerHeadBytes = 256 << 10;

/** The longest body of a request that an entry can allow. */
inline constexpr std::int64_t kMaxEntryBodyBytes = 7 << 20;

/** The longest time that an entry can set. */
inline constexpr Millis kMaxEntryTime = 3600000;

/**
 * What callers may send on their connections, and how long they may take; 0
 * leaves the daemon's own limit in force.
 */
struct ListenerLimits
{
  std::int64_t headBytes = 0;
  std::int64_t bodyBytes = 0;
  Millis headTime = 0; // From the first byte of a head to its last.
  Millis idleTime = 0; // Between two requests.

  bool operator==(const ListenerLimits&) const = default;
};

/**
 * How the callers of a team identify themselves, and what they may send to all
 * daemons together.
 */
struct TeamPolicy
{
  /** SHA-256 of each key in lower-case hexadecimal; keys are not kept. */
  std::vector<std::string> keyDigests;

  int ratePerSecond = 0; // 0 means no cap.
  int burst = 0;         // Calls above the rate; without a rate no cap.

  /** The class of the team's calls, instead of that of the route. */
  std::optional<WorkClass> workClass;

  bool operator==(const TeamPolicy&) const = default;
};

/** Which requests a route entry matches: those of a path or of a prefix. */
struct RouteMatch
{
  std::string host; // Of the request's Host header; empty means any.

  /** Matches itself and all paths below it; empty when there is a prefix. */
  std::string path;

  /** Begins and ends with a slash. Matches every path that begins with it. */
  std::string prefix;
  std::vector<HttpMethod> methods; // Empty means all.
};

/** A service that receives a share of a route's requests. */
struct ServiceShare
{
  std::string service;
  int weight = 0;

  bool operator==(const ServiceShare&) const = default;
};

/** Entries that are accepted together or not at all. */
struct ChangeSet
{
  std::string id;
  int size = 0;
};

/** One entry of the catalogue. */
struct Entry
{
  std::string name;
  EntryKind kind = EntryKind::Service;
  std::string owner;
  WorkClass workClass = WorkClass::Interactive;
  std::string service; // Routes without a split only.

  /** The route's requests are divided among these services by weight. */
  std::vector<ServiceShare> split;
  RouteMatch match; // Routes only.
  std::optional<bool> idempotent;

  /** Routes only: callers need no key of a team. */
  bool isKeyExempt = false;

  /** Routes only: answers are large, so they can fill the link of a host. */
  bool hasLargeAnswers = false;

  /** Routes only: requests are large, so they can fill the link of a host. */
  bool hasLargeRequests = false;
  Limits limits;
  ListenerLimits listenerLimits; // Listeners only.
  TeamPolicy team; // Teams only; the owner is the name of the team.
  std::optional<ChangeSet> changeSet;

  /** Without an explicit setting, only GET, HEAD and OPTIONS are idempotent. */
  bool IsIdempotent(HttpMethod aMethod) const;

  /** All services to which the route's requests may go. */
  std::vector<std::string> Services() const;
};

/** Refuses unknown keys, so that a misspelt limit is not silently ignored. */
CatalogueResult<Entry>
ParseEntry(std::string_view aName, std::string_view aJson);

} // namespace lacewingwharf
