#pragma once

#include "common/names.h"
#include "distribution/acceptor.h"

#include <string>
#include <vector>

namespace lacewingwharf {

enum class RoundResult
{
  Nothing,   // No edit can be accepted.
  Published, // The next version was written by this round.
  Adopted,   // Another acceptor was ahead; its versions are in deltas.
  Restored,  // The store is older than what is held.
  Failed     // The store did not answer; what was written is not known.
};

inline constexpr auto kRoundResultNames =
  MakeNameTable<RoundResult>({ { RoundResult::Nothing, "nothing" },
                               { RoundResult::Published, "published" },
                               { RoundResult::Adopted, "adopted" },
                               { RoundResult::Restored, "restored" },
                               { RoundResult::Failed, "failed" } });

/** What one round takes from the control thread, by value. */
struct RoundInput
{
  SnapshotPtr held;
  std::string writer;
  std::string nonce;
  bool mayStartEpoch = false;

  /** The store's revision when the restore was detected. */
  std::int64_t floorRevision = 0;
};

struct RoundOutcome
{
  RoundResult result = RoundResult::Failed;
  std::vector<Delta> deltas; // To be offered in this order.
  std::vector<Rejection> rejections;
  bool hasDecision = false;  // Whether rejections is meaningful.
  std::int64_t revision = 0; // Of the store, when it was found restored.
  std::string detail;

  /** The platform refuses the version for its size; retrying does not help. */
  bool isTooLarge = false;
};

/**
 * One round of the acceptor: reads the catalogue, decides and publishes with a
 * create-only write. The catalogue is read after the held version was, so the
 * decision is never based on an older catalogue than the held version was.
 * Blocks; runs on the platform thread.
 */
RoundOutcome
RunAcceptorRound(const ObjectStore& aStore, const RoundInput& aInput);

} // namespace lacewingwharf
