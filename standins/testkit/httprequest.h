#pragma once

#include "common/clock.h"

#include <string>
#include <vector>

namespace lacewingwharf {

struct TestAnswer
{
  long status = 0;          // 0 if there was no complete answer.
  bool wasConnected = true; // False if no connection could be made.
  std::string headers;
  std::string body;
};

/** Sends one request on a new connection and waits for its answer. */
TestAnswer
SendTestRequest(const std::string& aMethod,
                const std::string& aUrl,
                const std::string& aBody = {},
                const std::vector<std::string>& aHeaders = {},
                Millis aTimeout = 20000);

} // namespace lacewingwharf
