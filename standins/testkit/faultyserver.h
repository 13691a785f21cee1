#pragma once

#include "common/testsocket.h"

#include <atomic>
#include <cstddef>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace lacewingwharf {

/** The valid or faulty ways in which a FaultyServer answers a request. */
enum class FaultyAnswer
{
  Complete,
  OtherServer,   // 421: the request is meant for another server.
  NotExecuted,   // 503 with X-Not-Executed: the request did not run.
  LateRefusal,   // The same, and once more while the connection is idle.
  RepeatRefusal, // The last refusal of the connection precedes the answer.
  Shed,          // 503 without X-Not-Executed: it may have run.
  Truncated,     // The last four bytes are missing.
  TruncatedHead, // The connection is closed before the Content-Length.
  Unframed,      // No Content-Length; closing the connection ends the body.
  UnframedReset, // No Content-Length; the connection is reset in the body.
  Extra,         // An answer to another request follows.
  LateExtra,     // The same, while the connection is idle.
  NoId,          // Without the id of the request.
  LongHead,      // Complete, with a head of 60 KB.
  EndlessHead,   // A head that never ends.
  Early,         // Sent before the body of the request is read.
  StatusLine,    // Complete, with the status line that the test has set.
  NoAnswer,      // The request runs, then the connection is closed.
  Garbage        // Bytes that are not HTTP.
};

/**
 * A backend server of a site that can send faulty answers. It uses raw sockets
 * and one thread per connection.
 */
class FaultyServer
{
public:
  FaultyServer(const std::string& aAddress, int aPort, std::string aId);
  ~FaultyServer();
  FaultyServer(const FaultyServer&) = delete;
  FaultyServer& operator=(const FaultyServer&) = delete;

  /** Sets the kind of answer for all requests that arrive from now on. */
  void SetAnswer(FaultyAnswer aAnswer);

  /** Answers with this status line, without its end, from now on. */
  void SetStatusLine(const std::string& aLine);

  /** The number of requests that ran. */
  int Runs() const;

  /** The body of the request that ran last. */
  std::string LastBody() const;

  /** The head of the request that was read last, in lower case. */
  std::string LastHead() const;

private:
  struct Connection
  {
    loopback::Socket socket;
    std::thread thread;
  };

  struct Request
  {
    std::string id;
    std::string body;          // The part that was read so far.
    std::size_t bodyBytes = 0; // The Content-Length of the request.
  };

  void Accept();
  void Serve(loopback::Socket& aSocket);
  bool Answer(loopback::Socket& aSocket,
              Request& aRequest,
              std::string& aLastRefusal);
  std::string MakeAnswer(const std::string& aRequestId,
                         const std::string& aBody) const;
  void CountRun(const Request& aRequest);

  std::string id;
  loopback::Socket listener;
  std::atomic<FaultyAnswer> answer = FaultyAnswer::Complete;
  std::atomic<int> runs = 0;
  std::atomic<bool> isStopping = false;
  mutable std::mutex mutex;
  std::string statusLine;
  std::string lastBody;
  std::string lastHead;
  std::list<Connection> connections;
  std::thread acceptThread;
};

} // namespace lacewingwharf
