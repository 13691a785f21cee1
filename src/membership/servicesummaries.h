#pragma once

#include "membership/domainsummaries.h"
#include "peer_types.h"

#include <map>
#include <string>

namespace lacewingwharf {

class MemberTable;

/** Summaries of a failure domain's services by name. */
using ServiceSummaries = std::map<std::string, wire::ServiceSummary>;

/** Adds up the ready endpoints of each service and the loads of their hosts. */
ServiceSummaries
SummariseServices(const MemberTable& aTable, const HostLoads& aLoads);

} // namespace lacewingwharf
