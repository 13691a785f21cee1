#pragma once

#include "membership/endpointview.h"

#include <string>

namespace lacewingwharf {

class DomainSummaries;
class MemberTable;

/** Region and failure domain of a daemon. */
struct Location
{
  std::string region;
  std::string domain;
};

/** How far a daemon that started has got. See EndpointView. */
struct StartProgress
{
  bool isComplete = false;
  bool hasContact = false;
};

/**
 * Builds the view of a daemon at aFrom from the records of members and the
 * summaries of other domains.
 */
EndpointViewPtr
BuildView(const MemberTable& aTable,
          const DomainSummaries& aSummaries,
          const Location& aFrom,
          const StartProgress& aProgress);

} // namespace lacewingwharf
