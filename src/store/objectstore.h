#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "common/result.h"

#include <cstdint>
#include <functional>
#include <optional>
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
  Malformed,
  Stale // From before a restore of the store that is already known.
};

inline constexpr auto kPlatformErrorNames = MakeNameTable<PlatformErrorCode>(
  { { PlatformErrorCode::Unreachable, "unreachable" },
    { PlatformErrorCode::TimedOut, "timed-out" },
    { PlatformErrorCode::Conflict, "conflict" },
    { PlatformErrorCode::NotFound, "not-found" },
    { PlatformErrorCode::TooLarge, "too-large" },
    { PlatformErrorCode::Throttled, "throttled" },
    { PlatformErrorCode::Compacted, "compacted" },
    { PlatformErrorCode::Malformed, "malformed" },
    { PlatformErrorCode::Stale, "stale" } });

/**
 * Unreachable means that the request was never sent. After TimedOut and Stale
 * it is unknown whether a write has taken effect.
 */
struct PlatformError
{
  PlatformErrorCode code = PlatformErrorCode::Unreachable;
  std::string detail;
};

/** The value or the error of a call, and the era of the store's response. */
template<typename Value>
class PlatformResult : public Result<Value, PlatformError>
{
public:
  using Result<Value, PlatformError>::Result;

  /**
   * Rises each time the store is restored from a copy. Empty if the store does
   * not report it, or if there was no response.
   */
  std::optional<std::int64_t> era;
};

/**
 * An object and the revision of its last write. Revisions count the writes of
 * the whole store.
 */
struct StoredObject
{
  std::string name;
  std::int64_t revision = 0;
  std::string value;
  bool isDeleted = false; // Only watches return deleted objects.

  /** JSON of the part that only the system writes; empty if there is none. */
  std::string status;

  /** An operator has deleted the object, which waits for a finalizer. */
  bool isDeletionRequested = false;
};

/** The objects under a prefix and the store's revision when it was read. */
struct ObjectList
{
  std::int64_t revision = 0;
  std::vector<StoredObject> objects;
};

/** Writes regardless of the current revision of the object. */
inline constexpr std::int64_t kAnyRevision = -1;

/** Writes only if the object does not exist. */
inline constexpr std::int64_t kCreateOnly = 0;

/**
 * The interface to the platform's object store. Each function blocks until it
 * has a result or its timeout expires. To support another object API, provide
 * another set of these functions.
 */
struct ObjectStore
{
  std::function<PlatformResult<StoredObject>(const std::string& aName)> get;

  /**
   * Returns the new revision, or Conflict if the object's revision is not
   * aExpected.
   */
  std::function<PlatformResult<std::int64_t>(const std::string& aName,
                                             const std::string& aValue,
                                             std::int64_t aExpected)>
    put;

  std::function<PlatformResult<std::int64_t>(const std::string& aName,
                                             std::int64_t aExpected)>
    remove;

  std::function<PlatformResult<ObjectList>(const std::string& aPrefix)> list;

  /**
   * Waits up to aTimeout for changes under aPrefix after the revision aSince.
   * An empty list means that nothing changed. Compacted means that the store no
   * longer has the changes since then, so the caller must list again.
   */
  std::function<PlatformResult<ObjectList>(const std::string& aPrefix,
                                           std::int64_t aSince,
                                           Millis aTimeout)>
    watch;

  /**
   * Replaces the status of an object and keeps its value. Returns the new
   * revision, or Conflict if the object's revision is not aExpected. Empty in
   * stores whose objects have no status.
   */
  std::function<PlatformResult<std::int64_t>(const std::string& aName,
                                             const std::string& aStatus,
                                             std::int64_t aExpected)>
    putStatus;
};

} // namespace lacewingwharf
