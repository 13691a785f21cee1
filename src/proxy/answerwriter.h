#pragma once

#include "proxy/httptypes.h"

#include <string>
#include <string_view>

namespace lacewingwharf {

/** How an answer is sent on its connection. */
struct AnswerFormat
{
  bool isAnswerToHead = false;
  bool announcesClose = false;
};

/**
 * Returns the head of an answer with the framing that fits its body. Header
 * lines that could start another line are left out.
 */
std::string
FormatAnswerHead(const HttpAnswer& aAnswer, const AnswerFormat& aFormat);

/** Returns the usual reason phrase of an HTTP status. */
std::string_view
ReasonOf(int aStatus);

/** Whether the body of an answer is sent after its head. */
bool
SendsBody(const HttpAnswer& aAnswer, const AnswerFormat& aFormat);

} // namespace lacewingwharf
