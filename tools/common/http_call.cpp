#include "common/http_call.h"

#include <curl/curl.h>

#include <memory>

namespace gooseberry::tools::common {

namespace {

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

} // namespace

core::result<http_answer>
Call(const http_call& aCall)
{
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(
    curl_easy_init(), &curl_easy_cleanup);
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
    curl_slist_append(nullptr, "Content-Type: application/json"),
    &curl_slist_free_all);
  http_answer answer;
  CURL* curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, aCall.mUrl.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, aCall.mMethod.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  if (!aCall.mBody.empty()) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aCall.mBody.data());
    curl_easy_setopt(
      curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(aCall.mBody.size()));
  }
  curl_easy_setopt(
    curl, CURLOPT_TIMEOUT_MS, static_cast<long>(aCall.mTimeout.count()));
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer.mBody);
  if (const CURLcode code = curl_easy_perform(curl); code != CURLE_OK) {
    return core::error{ aCall.mMethod + " " + aCall.mUrl,
                        aCall.mUrl,
                        curl_easy_strerror(code) };
  }
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer.mStatus);
  return answer;
}

} // namespace gooseberry::tools::common
