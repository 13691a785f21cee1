#pragma once

#include "proxy/answerhead.h"
#include "proxy/clientsockets.h"
#include "proxy/httpclient.h"

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lacewingwharf {

struct EasyHandleDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};
using EasyHandle = std::unique_ptr<CURL, EasyHandleDeleter>;

/** Runs one exchange on a libcurl easy handle and decides how it ended. */
class HttpTransfer
{
public:
  HttpTransfer(HttpExchange aExchange,
               std::size_t aMaxAnswerBytes,
               EasyHandle aHandle,
               ClientSockets& aSockets);
  ~HttpTransfer();

  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  /** Returns false if the request cannot be sent with libcurl. */
  bool Prepare();

  ExchangeResult Finish(CURLcode aCode);
  ExchangeResult Cancel();

  /**
   * Whether the transfer ended before anything was sent, because its reused
   * connection had received bytes that belong to no request.
   */
  bool FoundUnreadBytes() const;

  /** Returns the exchange for another transfer. */
  HttpExchange TakeExchange();

  /** Returns the handle for reuse after this transfer has ended. */
  EasyHandle TakeHandle();

  CURL* Handle() const;
  const std::string& Id() const;

private:
  struct ListDeleter
  {
    void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
  };

  static std::size_t OnHeader(char* aBytes,
                              std::size_t aSize,
                              std::size_t aCount,
                              void* aTransfer);
  static std::size_t OnBody(char* aBytes,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aTransfer);
  static int OnRequestStart(void* aTransfer, char*, char*, int, int);

  void SetConnection();
  void SetMethod();
  void SetCallbacks();
  bool SetHeaders();
  bool AppendHeaderLine(const std::string& aLine);
  bool IsAnswerToOtherRequest() const;
  ExchangeEnd ClassifyEnd(CURLcode aCode);
  std::string FindBrokenFraming() const;
  ExchangeResult MakeResult(ExchangeEnd aEnd);

  HttpExchange exchange;
  std::size_t maxAnswerBytes;
  ClientSockets& sockets;
  std::size_t headerBytes = 0;
  EasyHandle handle;
  std::unique_ptr<curl_slist, ListDeleter> headerList;
  curl_slist* lastHeader = nullptr; // In headerList.
  AnswerHead head;
  std::string body;
  std::string detail;
  Clock clock = Clock::Steady();
  double startedAt;
  bool hasUnreadBytes = false;
  bool wasRequestStarted = false; // A part of it may have been sent.
  bool isAnswerTooLong = false;
  bool isForOtherRequest = false; // The echoed header differs.
};

inline CURL*
HttpTransfer::Handle() const
{
  return this->handle.get();
}

inline bool
HttpTransfer::FoundUnreadBytes() const
{
  return this->hasUnreadBytes;
}

inline HttpExchange
HttpTransfer::TakeExchange()
{
  return std::move(this->exchange);
}

inline const std::string&
HttpTransfer::Id() const
{
  return this->exchange.id;
}

} // namespace lacewingwharf
