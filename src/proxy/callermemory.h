#pragma once

#include "common/clock.h"
#include "common/names.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace lacewingwharf {

/** Limits on what callers may make a server hold; 0 means no limit. */
struct CallerMemoryLimits
{
  std::size_t totalBytes = 0;
  std::size_t connectionBytes = 0;
  std::size_t addressBytes = 0;
  std::size_t addressConnections = 0;
};

/** Bytes that are held for a caller. */
struct HeldBytes
{
  std::size_t reading = 0;  // Of requests that are not complete.
  std::size_t requests = 0; // Of requests that wait or run.
  std::size_t answers = 0;  // Until their last byte was sent.

  std::size_t Intake() const { return this->reading + this->requests; }
  std::size_t Sum() const { return this->Intake() + this->answers; }
  bool operator==(const HeldBytes&) const = default;
};

/** Which limit made the server refuse a request or close a connection. */
enum class CallerLimit
{
  ConnectionBytes,
  AddressBytes,
  RequestBytes, // The part of the total that requests may use.
  TotalBytes,
  AddressConnections,
  Connections
};

inline constexpr auto kCallerLimitNames = MakeNameTable<CallerLimit>(
  { { CallerLimit::ConnectionBytes, "connection-bytes" },
    { CallerLimit::AddressBytes, "address-bytes" },
    { CallerLimit::RequestBytes, "request-bytes" },
    { CallerLimit::TotalBytes, "total-bytes" },
    { CallerLimit::AddressConnections, "address-connections" },
    { CallerLimit::Connections, "connections" } });

inline constexpr std::size_t kCallerLimitCount =
  kCallerLimitNames.Rows().size();

/** What is held now, and what the limits have caused since the start. */
struct CallerMemoryCounts
{
  HeldBytes held;
  std::array<std::uint64_t, kCallerLimitCount> refused{}; // By CallerLimit.
  std::array<std::uint64_t, kCallerLimitCount> closed{};
  std::array<std::uint64_t, kCallerLimitCount> dropped{}; // Answers.
};

/** A connection that is to be ended, and why. */
struct CallerToEnd
{
  std::uint64_t connection = 0;
  CallerLimit limit = CallerLimit::TotalBytes;
  std::size_t bound = 0;
  std::size_t seen = 0; // What exceeds the bound.
  HeldBytes held;       // By the connection.
  Millis late = 0;      // Time without progress.
};

/**
 * Counts the bytes that one server holds for its callers, and decides which
 * connection ends when a limit is exceeded. It has no socket. Only the thread
 * of the server may use it, except for Counts().
 *
 * The connection that ends is the one for which the product of its bytes and
 * its time without progress is largest. Requests that were passed on are not
 * ended, as they may have run; they only keep further ones from being read. If
 * they alone exceed a limit, no answer ends for it.
 *
 * It is designed for 2000 connections of a host with 160 MB. Counting costs a
 * few additions; only above a limit all connections are compared.
 */
class CallerMemory
{
public:
  /** What one connection holds. */
  class Share
  {
  public:
    Share(CallerMemory& aMemory,
          std::uint64_t aConnection,
          const std::string& aAddress);
    ~Share();

    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /** aIsBusy: the answer to a request is not there or not wholly sent. */
    void Set(const HeldBytes& aHeld, bool aIsBusy);

    /** The caller has sent bytes of a request or taken bytes of an answer. */
    void RecordProgress(std::size_t aBytes, Millis aNow);

  private:
    friend class CallerMemory;

    CallerMemory& memory;
    std::uint64_t connection;
    const std::string* address = nullptr; // A key of the table of addresses.
    HeldBytes held;
    bool isBusy = false;
    bool hasSentRequest = false;
    Millis progressAt; // Until then, the caller was fast enough.
    Millis idleSince;
  };

  CallerMemory(const CallerMemoryLimits& aLimits, Clock aClock);

  /** Whether an address may open a further connection. */
  bool MayOpen(const std::string& aAddress) const;

  /** Whether a limit may be exceeded; if not, ChooseOver() finds nothing. */
  bool MayBeOver() const;

  /** The connection to end because of a limit on bytes, if any. */
  std::optional<CallerToEnd> ChooseOver();

  /**
   * The connection to close so that another caller can open one, if any.
   * aMayEnd is asked only for connections that would be chosen; its argument is
   * the number of a connection.
   */
  std::optional<CallerToEnd> ChooseIdle(
    std::size_t aMaxConnections,
    const std::function<bool(std::uint64_t)>& aMayEnd) const;

  /**
   * Whether a complete request of this size may be passed on besides those that
   * already are. Bodies that are still read count less: they can be ended.
   */
  bool MayPassOn(std::size_t aBytes) const;

  /** The longest text of a request that can be passed on; 0: no limit. */
  std::size_t MaxRequestBytes() const;

  /**
   * The caller of a request that was passed on has disconnected. Its bytes stay
   * counted until Release(), as its handler still holds them.
   */
  void Abandon(std::uint64_t aRequest,
               std::size_t aBytes,
               const std::string& aAddress);

  /** A request has ended. Without effect if it was not abandoned. */
  void Release(std::uint64_t aRequest);

  void CountRefused(CallerLimit aLimit);
  void CountClosed(CallerLimit aLimit);
  void CountDropped(CallerLimit aLimit);

  /** May be called from any thread. */
  CallerMemoryCounts Counts() const;

private:
  struct AddressUse
  {
    HeldBytes held; // Counted only with a limit on it.
    std::size_t connections = 0;
    std::size_t abandoned = 0; // Requests.
  };

  struct AbandonedRequest
  {
    std::size_t bytes = 0;
    std::string address;
  };

  struct Candidates;

  std::size_t RequestLimit() const;
  bool IsOver(const Share& aShare) const;
  std::optional<CallerToEnd> ChooseInAddresses() const;
  CallerToEnd Describe(const Share& aShare, CallerLimit aLimit) const;
  std::optional<CallerToEnd> Choose(const Candidates& aCandidates) const;
  std::optional<CallerToEnd> ChooseConnection() const;
  void Replace(Share& aShare, const HeldBytes& aHeld);
  void RemoveIfUnused(const std::string& aAddress);

  CallerMemoryLimits limits;
  Clock clock;
  std::unordered_set<Share*> shares;
  std::unordered_map<std::string, AddressUse> addresses;
  std::unordered_map<std::uint64_t, AbandonedRequest> abandoned;
  bool mayBeOver = false;
  std::atomic<std::size_t> reading{ 0 };
  std::atomic<std::size_t> requests{ 0 };
  std::atomic<std::size_t> answers{ 0 };
  std::array<std::atomic<std::uint64_t>, kCallerLimitCount> refused{};
  std::array<std::atomic<std::uint64_t>, kCallerLimitCount> closed{};
  std::array<std::atomic<std::uint64_t>, kCallerLimitCount> dropped{};
};

inline bool
CallerMemory::MayBeOver() const
{
  return this->mayBeOver;
}

} // namespace lacewingwharf
