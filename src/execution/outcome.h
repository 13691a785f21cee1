#pragma once

#include "admission/refusal.h"
#include "common/names.h"
#include "execution/calldialect.h"
#include "peer_types.h"
#include "proxy/httptypes.h"

#include <cstdint>
#include <string>

namespace lacewingwharf {

/** The outcome of a call, as its caller receives it. */
enum class Outcome
{
  Done,   // A backend server's complete answer was received.
  NotRun, // It is certain that no backend server ran the request.
  Unknown // May have run; no complete answer was received.
};

inline constexpr auto kOutcomeNames =
  MakeNameTable<Outcome>({ { Outcome::Done, "done" },
                           { Outcome::NotRun, "not-run" },
                           { Outcome::Unknown, "unknown" } });

inline constexpr const char* kOutcomeHeader = "Lacewingwharf-Outcome";
inline constexpr const char* kEntryHeader = "Lacewingwharf-Entry";
inline constexpr const char* kOwnerHeader = "Lacewingwharf-Owner";
inline constexpr const char* kLimitHeader = "Lacewingwharf-Limit";
inline constexpr const char* kReasonHeader = "Lacewingwharf-Reason";
inline constexpr const char* kVersionHeader = "Lacewingwharf-Version";
inline constexpr const char* kCallIdHeader = "Lacewingwharf-Call-Id";
inline constexpr const char* kDepthHeader = "Lacewingwharf-Depth";
inline constexpr const char* kKeyHeader = "Idempotency-Key";

/** How a call ended; used for the answer, the log and the entry's status. */
struct Ending
{
  Outcome outcome = Outcome::Unknown;
  int status = 502;
  std::string reason;

  /** Set when a limit or a rule refused the call. */
  Refusal refusal;
  bool isRefusal = false;
};

/** The HTTP status for a refusal in the product's own interface. */
int
StatusOf(RefusalReason aReason);

/** Describes a limit in the form "entry-rate bound 5 seen 6". */
std::string
DescribeLimit(const Refusal& aRefusal);

/** Builds an answer of the daemon itself, with a short JSON body. */
HttpAnswer
MakeAnswer(const Ending& aEnding, const CallDialect& aDialect = {});

/** Removes Host and the headers that belong to one connection only. */
HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders);

} // namespace lacewingwharf
