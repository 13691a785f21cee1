#pragma once

#include "common/log.h"
#include "execution/entryharness.h"

#include <string>

namespace lacewingwharf::testing {

/**
 * A dialect in which statuses guarantee that a request was not run and servers
 * sign their answers.
 */
inline CallDialect
SiteDialect()
{
  CallDialect dialect;
  dialect.deadlineHeader = "Deadline";
  dialect.requestIdHeader = "Id";
  dialect.callerServiceHeader = "From";
  dialect.serverIdHeader = "Expect-Server";
  dialect.notExecutedHeader = "Not-Run";
  dialect.signatureHeader = "Signature";
  dialect.otherServerStatus = 421;
  dialect.forwardsHost = true;
  dialect.addsOwnHeaders = false;
  dialect.allowsFractionalRetryAfter = true;
  dialect.statusGuaranteesNotRun = true;
  return dialect;
}

inline EntryCallsConfig
SiteConfig()
{
  EntryCallsConfig config;
  config.host = "host-a";
  config.incarnation = 1;
  config.dialect = SiteDialect();
  config.service = "own-service";
  config.retriesServerErrors = true;
  config.retriesCapacityRefusals = true;
  return config;
}

/** An entry daemon with the dialect of a site. */
struct EntryDaemon : EntryHarness
{
  explicit EntryDaemon(std::size_t aServers = 3)
    : EntryHarness(SiteConfig(), aServers, kDeadline)
  {
    Log::SetLevel(LogLevel::Error);
  }

  /** Answers the latest attempt. */
  void Answer(wire::CallOutcome::type aOutcome,
              const std::string& aText,
              int aStatus = 200)
  {
    this->EntryHarness::Answer(
      this->LastRequest().callId, aOutcome, aText, aStatus);
  }
};

} // namespace lacewingwharf::testing
