#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "common/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

enum class PlatformErrorCode
{
  Unreachable,
  TimedOut,
  Conflict,
  NotFound,
  TooLarge,
  Throttled,
  Compacted,
  Malformed
};

inline constexpr auto kPlatformErrorNames = MakeNameTable<PlatformErrorCode>(
  { { PlatformErrorCode::Unreachable, "unreachable" },
    { PlatformErrorCode::TimedOut, "timed-out" },
    { PlatformErrorCode::Conflict, "conflict" },
    { PlatformErrorCode::NotFound, "not-found" },
    { PlatformErrorCode::TooLarge, "too-large" },
    { PlatformErrorCode::Throttled, "throttled" },
    { PlatformErrorCode::Compacted, "compacted" },
    { PlatformErrorCode::Malformed, "malformed" } });

/**
 * After TimedOut a write may or may not have taken effect; Unreachable means
 * that the request was never sent.
 */
struct PlatformError
{
  PlatformErrorCode code = PlatformErrorCode::Unreachable;
  std::string detail;
};

template<typename Value>
using PlatformResult = Result<Value, PlatformError>;

/** An object with the store-wide revision of its last write. */
struct StoredObject
{
  std::string name;
  std::int64_t revision = 0;
  std::string value;
  bool isDeleted = false; // Only in the results of a watch.
};

/** Objects under a prefix, and the store's revision when they were read. */
struct ObjectList
{
  std::int64_t revision = 0;
  std::vector<StoredObject> objects;
};

/** Write regardless of the object's present revision. */
inline constexpr std::int64_t kAnyRevision = -1;

/** Write only when the object does not exist. */
inline constexpr std::int64_t kCreateOnly = 0;

/**
 * The platform's object API. Each hook blocks until it has an answer or its
 * bound has passed. Another object API is one more set of these hooks.
 */
struct ObjectStore
{
  std::function<PlatformResult<StoredObject>(const std::string& aName)> get;

  /** Returns the new revision; Conflict when aExpected does not match. */
  std::function<PlatformResult<std::int64_t>(const std::string& aName,
                                             const std::string& aValue,
                                             std::int64_t aExpected)>
    put;

  std::function<PlatformResult<std::int64_t>(const std::string& aName,
                                             std::int64_t aExpected)>
    remove;

  std::function<PlatformResult<ObjectList>(const std::string& aPrefix)> list;

  /**
   * Waits up to aTimeout for changes under aPrefix after aSince. An empty list
   * means that nothing changed; Compacted means that a new list is needed.
   */
  std::function<PlatformResult<ObjectList>(const std::string& aPrefix,
                                           std::int64_t aSince,
                                           Millis aTimeout)>
    watch;
};

} // namespace lacewingwharf
