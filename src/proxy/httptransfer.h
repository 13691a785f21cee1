#pragma once

#include "proxy/httpclient.h"

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace lacewingwharf {

struct EasyCleanup
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};
using EasyHandle = std::unique_ptr<CURL, EasyCleanup>;

/** One exchange on a libcurl easy handle, and the judgement how it ended. */
class HttpTransfer
{
public:
  HttpTransfer(HttpExchange aExchange,
               std::size_t aMaxAnswerBytes,
               EasyHandle aHandle);
  ~HttpTransfer();

  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  /** False when libcurl cannot represent the request. */
  bool Prepare();

  ExchangeResult Finish(CURLcode aCode);
  ExchangeResult Cancel();

  /** For the next transfer, once this one has ended. */
  EasyHandle TakeHandle();

  CURL* Handle() const;
  const std::string& Id() const;

private:
  struct ListFree
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
  void ReadHeaderLine(std::string_view aLine);
  bool IsForeignAnswer() const;
  ExchangeEnd EndOf(CURLcode aCode);
  bool HasUnprovenLength() const;
  ExchangeResult ResultOf(ExchangeEnd aEnd);

  HttpExchange exchange;
  std::size_t maxAnswerBytes;
  std::size_t headerBytes = 0;
  EasyHandle handle;
  std::unique_ptr<curl_slist, ListFree> headerList;
  HttpAnswer answer;
  std::string detail;
  Clock clock = Clock::Steady();
  double startedAt;
  bool wasStarted = false; // A request byte may have left.
  bool isTooLong = false;
  bool isForeign = false; // The answer belongs to another request.
};

inline CURL*
HttpTransfer::Handle() const
{
  return this->handle.get();
}

inline const std::string&
HttpTransfer::Id() const
{
  return this->exchange.id;
}

} // namespace lacewingwharf
