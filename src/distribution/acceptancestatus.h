#pragma once

#include "distribution/acceptor.h"

#include <map>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** Status texts by entry name. */
using AcceptanceTexts = std::map<std::string, std::string>;

/** Returns the JSON text of status/NAME/acceptance for a rejected edit. */
std::string
EncodeRejection(const Rejection& aRejection);

/**
 * Stands for the entry name in status/NAME/acceptance when the state of the
 * store itself is reported. No entry can have this name.
 */
inline constexpr std::string_view kStoreStatusName = ".store";

/**
 * Returns the status text that tells operators to repeat the edits at or below
 * the floor revision.
 */
std::string
EncodeStoreStatus(const VersionStamp& aStamp);

std::string
AcceptanceObjectName(const std::string& aEntry);

/** Reads all objects status/NAME/acceptance from the store. Blocks. */
PlatformResult<AcceptanceTexts>
ReadAcceptanceStatus(const ObjectStore& aStore);

/**
 * Writes and removes the status objects that differ between aOld and aDesired,
 * at most 20 per call. Returns the texts that the store has afterwards, so that
 * a later call can write the rest. Blocks.
 */
AcceptanceTexts
WriteAcceptanceStatus(const ObjectStore& aStore,
                      AcceptanceTexts aOld,
                      const AcceptanceTexts& aDesired);

} // namespace lacewingwharf
