#pragma once

#include "proxy/httptypes.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** Limits on what a caller may send. */
struct RequestLimits
{
  /** The whole head, with the request line and all line ends. */
  std::size_t headBytes = 16384;
  std::size_t bodyBytes = 4U << 20U;

  bool operator==(const RequestLimits&) const = default;
};

struct RequestRefusal
{
  int status = 0; // Of HTTP.
  std::string reason;
};

enum class RequestState
{
  ReadingHead,
  ReadingBody,
  Complete,
  Refused
};

/**
 * Parses one request from the bytes of a connection. It stores only the request
 * itself, so what it needs is bounded by the limits, whatever the shape of the
 * head.
 */
class RequestParser
{
public:
  explicit RequestParser(const RequestLimits& aLimits);
  ~RequestParser();

  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /**
   * Returns how many of aBytes belong to the request and were parsed. The
   * caller passes the others again together with the bytes that follow them.
   */
  std::size_t Feed(std::string_view aBytes);

  RequestState State() const;

  /** Whether bytes of the request were parsed; an empty line before it is none.
   */
  bool HasStarted() const;

  /** Why a request was refused. */
  const RequestRefusal& Refusal() const;

  /** Whether the caller waits for the status 100 before it sends the body. */
  bool ExpectsContinue() const;

  /** Whether the caller reuses the connection after this request. */
  bool KeepsConnection() const;

  /** Bytes of the request that are stored so far. */
  std::size_t StoredBytes() const;

  /**
   * Memory that the request takes so far, with that of its headers besides
   * their texts and the reserve of its body.
   */
  std::size_t HeldBytes() const;

  HttpRequest TakeRequest();

private:
  class Grammar;

  void FeedGrammar(std::string_view aBytes, std::size_t& aConsumed);
  void FinishHead();
  void CheckPendingBytes(std::size_t aBytes);
  RequestRefusal CheckHead() const;
  RequestRefusal CheckFraming() const;
  void Refuse(RequestRefusal aRefusal);

  RequestLimits limits;
  std::unique_ptr<Grammar> grammar;
  RequestState state = RequestState::ReadingHead;
  RequestRefusal refusal;
  std::size_t headBytes = 0;
};

} // namespace lacewingwharf
