#pragma once

#include "admission/refusal.h"
#include "usage/usagetokens.h"

#include <optional>

namespace lacewingwharf {

enum class UsageVerdict
{
  Granted,
  Waiting, // The hook is called later.
  Refused
};

/** Whether a call may run. */
struct UsageDecision
{
  UsageVerdict verdict = UsageVerdict::Granted;

  /** Empty when the call needs none. */
  std::optional<UsageToken> token;
  Refusal refusal;
};

} // namespace lacewingwharf
