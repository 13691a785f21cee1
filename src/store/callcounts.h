#pragma once

#include "store/objectstore.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace lacewingwharf {

enum class CallKind
{
  Get,
  Put,
  Remove,
  List,
  Watch
};

inline constexpr auto kCallKindNames =
  MakeNameTable<CallKind>({ { CallKind::Get, "get" },
                            { CallKind::Put, "put" },
                            { CallKind::Remove, "remove" },
                            { CallKind::List, "list" },
                            { CallKind::Watch, "watch" } });

/** Counts calls to the platform and their failures by kind. Thread-safe. */
class CallCounts
{
public:
  void Add(CallKind aKind, bool aIsFailure);
  std::uint64_t Calls(CallKind aKind) const;
  std::uint64_t Failures(CallKind aKind) const;

private:
  static constexpr std::size_t kKindCount = 5;

  std::array<std::atomic<std::uint64_t>, kKindCount> calls{};
  std::array<std::atomic<std::uint64_t>, kKindCount> failures{};
};

/**
 * Runs instead of each call. aCall sends the call and returns its error, if
 * any. A wrapper that does not invoke aCall must return the error for the
 * caller.
 */
using CallWrapper = std::function<std::optional<PlatformError>(
  CallKind aKind,
  const std::function<std::optional<PlatformError>()>& aCall)>;

/** Returns a store that runs each call to aStore through aWrapper. */
ObjectStore
WrapStore(ObjectStore aStore, CallWrapper aWrapper);

/**
 * Returns a store that counts the calls to aStore in aCounts. Only errors for
 * which IsPlatformFailure() is true count as failures, so a conflict does not.
 */
ObjectStore
CountCalls(ObjectStore aStore, std::shared_ptr<CallCounts> aCounts);

/** Whether the error means that the platform is failing or throttling calls. */
bool
IsPlatformFailure(PlatformErrorCode aCode);

} // namespace lacewingwharf
