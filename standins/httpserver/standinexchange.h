#pragma once

#include "common/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

struct MHD_Connection;

namespace lacewingwharf {

struct StandinRequest
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers; // Names in lower case.
  std::string body;
  std::uint64_t indexOnConnection = 0;

  std::string Header(const std::string& aName) const;
  std::string Query(const std::string& aName) const;
};

struct StandinAnswer
{
  unsigned int status = 200;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;

  /** The connection is closed after this many bytes of the body. */
  std::size_t cutAfterBytes = std::numeric_limits<std::size_t>::max();

  /** If both are set, the body is sent in pieces with a pause between them. */
  std::size_t pieceBytes = 0;
  Millis pieceDelay = 0;
};

/**
 * One request whose connection is suspended until it is answered or aborted.
 * All functions may be called from any thread.
 */
class StandinExchange
{
public:
  explicit StandinExchange(MHD_Connection* aConnection);

  const StandinRequest& Request() const;

  /** Returns false, and drops aAnswer, if the request has ended already. */
  bool Answer(StandinAnswer aAnswer);

  /**
   * Closes the connection without an answer. Returns false if the request has
   * ended already.
   */
  bool Abort();

  /** aHook runs once if the caller closes the connection before the answer. */
  void SetOnDisconnect(std::function<void()> aHook);

private:
  friend class StandinServer;

  bool wasDispatched = false; // Used by the server's thread only.

  enum class State
  {
    Reading,
    Waiting,
    Answered,
    Aborted
  };

  bool Finish(State aState, StandinAnswer aAnswer);
  void HandleDisconnect();
  void Suspend();

  MHD_Connection* connection;
  StandinRequest request;
  StandinAnswer answer;
  std::function<void()> onDisconnect;
  std::mutex mutex;
  State state = State::Reading;
  int socketFd = -1;
};

inline const StandinRequest&
StandinExchange::Request() const
{
  return this->request;
}

} // namespace lacewingwharf
