#pragma once

#include "admission/refusal.h"
#include "common/names.h"
#include "execution/calldialect.h"
#include "peer_types.h"
#include "proxy/httptypes.h"

#include <cstdint>
#include <string>

namespace lacewingwharf {

/** What a caller is told about its call. */
enum class Outcome
{
  Done,   // The whole answer of the backend server is there.
  NotRun, // Proven: no backend server was handed the request.
  Unknown // Handed over, and no whole answer was seen.
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

/** How a call ended, for its caller, the log and the entry's status. */
struct Ending
{
  Outcome outcome = Outcome::Unknown;
  int status = 502;
  std::string reason;

  /** Set when a limit or a rule refused the call. */
  Refusal refusal;
  bool isRefusal = false;
};

/** The HTTP status that stands for a refusal. */
int
StatusOf(RefusalReason aReason);

/** "entry-rate bound 5 seen 6" */
std::string
DescribeLimit(const Refusal& aRefusal);

/** An answer made by the daemon itself, with a short JSON body. */
HttpAnswer
MakeAnswer(const Ending& aEnding, const CallDialect& aDialect = {});

/** Leaves out headers that belong to one connection only, and Host. */
HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders);

} // namespace lacewingwharf
