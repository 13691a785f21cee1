#pragma once

#include <curl/curl.h>

#include <cstdint>
#include <string>

namespace lacewingwharf::bench {

/** Persistent HTTP connection that counts its bytes, including headers. */
class HttpConnection
{
public:
  HttpConnection()
    : handle(curl_easy_init())
  {
  }
  ~HttpConnection() { curl_easy_cleanup(this->handle); }

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Returns the status, or 0 when no complete answer arrived. */
  long Send(const char* aMethod,
            const std::string& aUrl,
            const std::string& aBody = {})
  {
    constexpr long kTimeoutMillis = 10000;
    this->answer.clear();
    curl_easy_reset(this->handle);
    curl_easy_setopt(this->handle, CURLOPT_URL, aUrl.c_str());
    curl_easy_setopt(this->handle, CURLOPT_CUSTOMREQUEST, aMethod);
    curl_easy_setopt(this->handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->handle, CURLOPT_TIMEOUT_MS, kTimeoutMillis);
    curl_easy_setopt(this->handle, CURLOPT_WRITEFUNCTION, &Append);
    curl_easy_setopt(this->handle, CURLOPT_WRITEDATA, &this->answer);
    if (!aBody.empty()) {
      curl_easy_setopt(this->handle, CURLOPT_POSTFIELDS, aBody.data());
      curl_easy_setopt(
        this->handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody.size()));
    }
    const CURLcode code = curl_easy_perform(this->handle);
    this->CountBytes();
    long status = 0;
    curl_easy_getinfo(this->handle, CURLINFO_RESPONSE_CODE, &status);
    return code == CURLE_OK ? status : 0;
  }

  const std::string& Answer() const { return this->answer; }
  std::uint64_t Bytes() const { return this->bytes; }

private:
  static std::size_t Append(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aTarget)
  {
    static_cast<std::string*>(aTarget)->append(aData, aSize * aCount);
    return aSize * aCount;
  }

  void CountBytes()
  {
    long request = 0;
    long headers = 0;
    curl_off_t up = 0;
    curl_off_t down = 0;
    curl_easy_getinfo(this->handle, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(this->handle, CURLINFO_HEADER_SIZE, &headers);
    curl_easy_getinfo(this->handle, CURLINFO_SIZE_UPLOAD_T, &up);
    curl_easy_getinfo(this->handle, CURLINFO_SIZE_DOWNLOAD_T, &down);
    this->bytes += static_cast<std::uint64_t>(request + headers + up + down);
  }

  CURL* handle;
  std::string answer;
  std::uint64_t bytes = 0;
};

} // namespace lacewingwharf::bench
