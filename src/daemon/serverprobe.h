#pragma once

#include <string>

namespace lacewingwharf {

/**
 * Returns false when connections to a port of this host are refused. A port
 * that does not answer in time counts as listening.
 */
bool
IsListening(const std::string& aAddress, int aPort);

} // namespace lacewingwharf
