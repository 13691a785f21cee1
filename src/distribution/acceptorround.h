#pragma once

#include "common/names.h"
#include "distribution/acceptor.h"

#include <string>
#include <vector>

namespace lacewingwharf {

enum class RoundResult
{
  Nothing,   // No edit can be accepted.
  Published, // This round wrote the next version.
  Adopted,   // Another acceptor was ahead; its versions are in deltas.
  Restored,  // The store is older than the held version, or diverged from it.
  Failed     // A store call failed; it is unknown what was written.
};

inline constexpr auto kRoundResultNames =
  MakeNameTable<RoundResult>({ { RoundResult::Nothing, "nothing" },
                               { RoundResult::Published, "published" },
                               { RoundResult::Adopted, "adopted" },
                               { RoundResult::Restored, "restored" },
                               { RoundResult::Failed, "failed" } });

/**
 * Input of one round. It is copied, because the round does not run on the
 * control thread.
 */
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
  bool hasDecision = false;  // Whether rejections is valid.
  std::int64_t revision = 0; // Of the store, if the result is Restored.
  std::string detail;

  /**
   * The platform refused the version because of its size, so a retry would fail
   * too.
   */
  bool isTooLarge = false;
};

/**
 * Runs one round of the acceptor: reads the catalogue, decides on its edits and
 * publishes the next version with a create-only write. The catalogue is read
 * after the held version is fixed, so a decision is never based on a catalogue
 * that is older than the held version. Blocks; runs on the platform thread.
 */
RoundOutcome
RunAcceptorRound(const ObjectStore& aStore, const RoundInput& aInput);

} // namespace lacewingwharf
