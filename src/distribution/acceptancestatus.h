#pragma once

#include "distribution/acceptor.h"

#include <map>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** Status texts by entry name. */
using AcceptanceTexts = std::map<std::string, std::string>;

/** The JSON text of status/NAME/acceptance. */
std::string
EncodeRejection(const Rejection& aRejection);

/**
 * The name under which the state of the store itself is reported; no entry can
 * have it.
 */
inline constexpr std::string_view kStoreStatusName = ".store";

/** Tells operators that edits at or below the floor must be made again. */
std::string
EncodeStoreStatus(const VersionStamp& aStamp);

std::string
AcceptanceObjectName(const std::string& aEntry);

/** Every status/NAME/acceptance in the store. Blocks. */
PlatformResult<AcceptanceTexts>
ReadAcceptanceStatus(const ObjectStore& aStore);

/**
 * Writes and removes what differs, at most 20 objects. Returns what the store
 * has afterwards, so that the rest is tried again. Blocks.
 */
AcceptanceTexts
WriteAcceptanceStatus(const ObjectStore& aStore,
                      AcceptanceTexts aOld,
                      const AcceptanceTexts& aDesired);

} // namespace lacewingwharf
