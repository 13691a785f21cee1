#pragma once

#include "admission/refusal.h"
#include "proxy/httpclient.h"

#include <string>

namespace lacewingwharf {

inline constexpr const char* kDeadlineHeader = "Lacewingwharf-Deadline-Ms";
inline constexpr const char* kTeamHeader = "Lacewingwharf-Team";

/**
 * The HTTP header names and status rules that callers and backend servers use.
 * An empty name means that there is no such header. The defaults are those of
 * the product's own interface.
 */
struct CallDialect
{
  /**
   * Milliseconds that the caller still waits, or that a backend server may
   * still take.
   */
  std::string deadlineHeader = kDeadlineHeader;

  /**
   * The caller's id of the request; backend servers repeat it in their answers.
   */
  std::string requestIdHeader;

  /** Name of the service on whose host the call began; set by the daemon. */
  std::string callerServiceHeader;

  /** Name of the caller's team; set by the daemon if the catalogue has teams.
   */
  std::string teamHeader = kTeamHeader;

  /** Id of the backend server process that the request is meant for. */
  std::string serverIdHeader;

  /** Present in an answer if the backend server did not run the request. */
  std::string notExecutedHeader;

  /**
   * Present in every answer that a backend server made by running a request.
   */
  std::string signatureHeader;

  /**
   * Status of a backend server process that is not the one named in
   * serverIdHeader; 0 if there is no such status.
   */
  int otherServerStatus = 0;

  UnframedBody unframedBody = UnframedBody::Incomplete;

  /** Whether the Host header is forwarded to backend servers. */
  bool forwardsHost = false;

  /** Whether the headers Lacewingwharf-* are added to requests and answers. */
  bool addsOwnHeaders = true;

  /** Whether Retry-After may contain a fraction of a second. */
  bool allowsFractionalRetryAfter = false;

  /**
   * Whether 429 and 503 guarantee that a request was not run. If so, a call
   * that never reached a backend server is always answered with one of them,
   * unless the request itself is at fault, and a call that may have run is
   * never answered with them.
   */
  bool statusGuaranteesNotRun = false;
};

/**
 * The HTTP status for a refusal. aMayHaveRun says whether an earlier attempt
 * may have run.
 */
int
StatusFor(const CallDialect& aDialect, RefusalReason aReason, bool aMayHaveRun);

} // namespace lacewingwharf
