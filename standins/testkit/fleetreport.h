#pragma once

#include <string>
#include <vector>

namespace lacewingwharf {

class Fleet;
struct FleetCalls;
class Site;

/** Returns the lines of a log that contain one of these texts. */
std::string
SelectLines(const std::string& aLog, const std::vector<std::string>& aTexts);

/**
 * Describes the fleet of a failed test: the state of each daemon, and the lines
 * of its log that contain one of aTexts, a warning or a change of the fleet.
 */
std::string
DescribeFleet(const Fleet& aFleet, const std::vector<std::string>& aTexts);

/** Prints the failed calls, if there are any, with what daemons logged. */
void
PrintProblems(const Fleet& aFleet, const FleetCalls& aCalls);

/**
 * Describes the site of a failed test: the answer to a call of aPath, the state
 * of each daemon and what it logged, except about calls.
 */
std::string
DescribeSite(const Site& aSite, const std::string& aPath);

} // namespace lacewingwharf
