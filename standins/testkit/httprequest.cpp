#include "testkit/httprequest.h"

#include <curl/curl.h>

namespace lacewingwharf {

namespace {

std::size_t
Append(char* aData, std::size_t aSize, std::size_t aCount, void* aText)
{
  static_cast<std::string*>(aText)->append(aData, aSize * aCount);
  return aSize * aCount;
}

} // namespace

TestAnswer
SendTestRequest(const std::string& aMethod,
                const std::string& aUrl,
                const std::string& aBody,
                const std::vector<std::string>& aHeaders,
                Millis aTimeout)
{
  TestAnswer answer;
  CURL* handle = curl_easy_init();
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : aHeaders) {
    headers = curl_slist_append(headers, header.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout));
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, Append);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, Append);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &answer.headers);
  if (!aBody.empty() || aMethod == "POST" || aMethod == "PUT") {
    curl_easy_setopt(
      handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody.size()));
    curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, aBody.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, aMethod.c_str());
  const CURLcode code = curl_easy_perform(handle);
  answer.wasConnected = code != CURLE_COULDNT_CONNECT;
  if (code == CURLE_OK) {
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
  }
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  return answer;
}

} // namespace lacewingwharf
