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

/** Calls to the platform by kind and their failures; read by any thread. */
class CallCounts
{
public:
  void Add(CallKind aKind, bool aIsFailure);
  std::uint64_t Calls(CallKind aKind) const;
  std::uint64_t Failures(CallKind aKind) const;

private:
  static constexpr std::size_t kKinds = 5;

  std::array<std::atomic<std::uint64_t>, kKinds> calls{};
  std::array<std::atomic<std::uint64_t>, kKinds> failures{};
};

/**
 * Runs around each call: aCall sends it and returns its error, if any. A hook
 * that does not send returns the error that the caller is to see.
 */
using CallWrapper = std::function<std::optional<PlatformError>(
  CallKind aKind,
  const std::function<std::optional<PlatformError>()>& aCall)>;

/** The same store with aWrapper around every call. */
ObjectStore
WrapStore(ObjectStore aStore, CallWrapper aWrapper);

/** The same store, counting its calls; a conflict is not a failure. */
ObjectStore
CountCalls(ObjectStore aStore, std::shared_ptr<CallCounts> aCounts);

/** Errors that mean the platform does not work or wants fewer calls. */
bool
IsPlatformFailure(PlatformErrorCode aCode);

} // namespace lacewingwharf
