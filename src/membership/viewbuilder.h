#pragma once

#include "membership/endpointview.h"

#include <string>

namespace lacewingwharf {

class DomainSummaries;
class MemberTable;

/** Combines the own domain's records with the summaries of the others. */
EndpointViewPtr
BuildView(const MemberTable& aTable,
          const DomainSummaries& aSummaries,
          const std::string& aRegion,
          const std::string& aDomain);

} // namespace lacewingwharf
