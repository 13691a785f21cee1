#pragma once

#include "common/names.h"
#include "proxy/httptypes.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lacewingwharf {

/** What marks the end of an answer's body (RFC 9112, section 6.3). */
enum class AnswerFraming
{
  NoBody,
  Length,
  Chunked,
  Connection, // The body ends when the connection is closed.
  Invalid     // The headers contradict each other.
};

inline constexpr auto kAnswerFramingNames =
  MakeNameTable<AnswerFraming>({ { AnswerFraming::NoBody, "no-body" },
                                 { AnswerFraming::Length, "length" },
                                 { AnswerFraming::Chunked, "chunked" },
                                 { AnswerFraming::Connection, "connection" },
                                 { AnswerFraming::Invalid, "invalid" } });

/**
 * Reads the head of an answer line by line. Informational (1xx) heads before
 * the final one and trailers after it are left out. A head whose status line is
 * not valid is never complete.
 */
class AnswerHead
{
public:
  /** aLine is a line without its end; an empty line ends a head. */
  void AddLine(std::string_view aLine);

  /**
   * Whether the final head was received up to its empty line. A connection that
   * closes earlier leaves a head whose missing headers could change the
   * meaning of the answer.
   */
  bool IsComplete() const;

  /** Whether a status line was not valid, or came within a head. */
  bool IsInvalid() const;

  AnswerFraming FramingFor(const HttpRequest& aRequest) const;

  /** The Content-Length in bytes, if there is a valid one. */
  std::optional<std::int64_t> AnnouncedBytes() const;

  int status = 0;
  HttpHeaders headers;

private:
  void ReadStatusLine(std::string_view aLine);

  bool isComplete = false;
  bool isInvalid = false;
  bool isWithinHead = false; // After a status line, before the empty line.
};

inline bool
AnswerHead::IsInvalid() const
{
  return this->isInvalid;
}

inline bool
AnswerHead::IsComplete() const
{
  return this->isComplete;
}

} // namespace lacewingwharf
