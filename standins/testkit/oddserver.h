#pragma once

#include "common/testsocket.h"

#include <atomic>
#include <cstddef>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace lacewingwharf {

/** How an OddServer answers a request. */
enum class OddAnswer
{
  Whole,
  OtherServer, // 421: the request is meant for another server.
  NotExecuted, // 503 with the header that says it was not run.
  Shed,        // 503 without that header: it may have run.
  Cut,         // Half of the declared body.
  Unframed,    // No length; the body ends with the connection.
  UnframedCut, // No length, and the connection is reset within the body.
  Extra,       // A second answer, to another request, follows.
  Early,       // Before the body of the request was read.
  NoAnswer,    // The request runs and the connection closes.
  Garbage      // Bytes that are no answer.
};

/**
 * A backend server of a site whose answers are not always proper. Speaks on raw
 * sockets, one thread a connection.
 */
class OddServer
{
public:
  OddServer(const std::string& aAddress, int aPort, std::string aId);
  ~OddServer();
  OddServer(const OddServer&) = delete;
  OddServer& operator=(const OddServer&) = delete;

  /** For all requests that arrive from now on. */
  void SetAnswer(OddAnswer aAnswer);

  /** Requests that ran. */
  int Runs() const;

  /** The body of the request that ran last. */
  std::string LastBody() const;

private:
  struct Connection
  {
    loopback::Socket socket;
    std::thread thread;
  };

  struct Request
  {
    std::string id;
    std::string body; // As far as it was read.
    std::size_t bodyBytes = 0;
  };

  void Accept();
  void Serve(loopback::Socket& aSocket);
  bool Answer(loopback::Socket& aSocket, Request& aRequest);
  std::string WholeAnswer(const std::string& aRequestId,
                          const std::string& aBody) const;
  void CountRun(const Request& aRequest);

  std::string id;
  loopback::Socket listener;
  std::atomic<OddAnswer> answer = OddAnswer::Whole;
  std::atomic<int> runs = 0;
  std::atomic<bool> isStopping = false;
  mutable std::mutex mutex;
  std::string lastBody;
  std::list<Connection> connections;
  std::thread acceptor;
};

} // namespace lacewingwharf
