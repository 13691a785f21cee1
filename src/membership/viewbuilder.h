#pragma once

#include "membership/endpointview.h"

#include <string>

namespace lacewingwharf {

class DomainSummaries;
class MemberTable;

/** Where a daemon is. */
struct Location
{
  std::string region;
  std::string domain;
};

/** Combines the records of members with the summaries of other domains. */
EndpointViewPtr
BuildView(const MemberTable& aTable,
          const DomainSummaries& aSummaries,
          const Location& aFrom);

} // namespace lacewingwharf
