#pragma once

#include "admission/refusal.h"
#include "proxy/httpclient.h"

#include <string>

namespace lacewingwharf {

inline constexpr const char* kDeadlineHeader = "Lacewingwharf-Deadline-Ms";

/**
 * How callers and backend servers name things in HTTP. An empty name means that
 * they have no such header. The defaults are those of the product's own
 * interface.
 */
struct CallDialect
{
  /** Milliseconds that the caller waits, or that a server may still take. */
  std::string deadlineHeader = kDeadlineHeader;

  /** The caller's id of this one request; servers repeat it in answers. */
  std::string requestIdHeader;

  /** Name of the service on whose host a call began; set by the daemon. */
  std::string callerServiceHeader;

  /** Id of the server process that a request is meant for. */
  std::string serverIdHeader;

  /** Borne by an answer that says that the server did not run the request. */
  std::string notExecutedHeader;

  /** Borne by every answer that a server made by running a request. */
  std::string signatureHeader;

  /** Status of a server that is not the one named in serverIdHeader; 0: none */
  int otherServerStatus = 0;

  UnframedBody unframedBody = UnframedBody::Cut;

  /** Whether Host is passed on to servers. */
  bool forwardsHost = false;

  /** Whether requests and answers get the headers Lacewingwharf-*. */
  bool addsOwnHeaders = true;

  /** Whether Retry-After may have a fraction. */
  bool allowsFractionalRetryAfter = false;

  /**
   * Whether 429 and 503 promise that a request was not run. If so, what was
   * never handed to a server is always answered with one of them, and what may
   * have run never is.
   */
  bool statusGuaranteesNotRun = false;
};

/** The HTTP status for a refusal; aMayHaveRun tells of an earlier attempt. */
int
StatusFor(const CallDialect& aDialect, RefusalReason aReason, bool aMayHaveRun);

} // namespace lacewingwharf
