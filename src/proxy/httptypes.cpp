#include "proxy/httptypes.h"

#include <strings.h>

namespace lacewingwharf {

bool
HeaderLess::operator()(const std::string& aLeft,
                       const std::string& aRight) const
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) < 0;
}

} // namespace lacewingwharf
