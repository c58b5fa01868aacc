#include "libgooseberryio/http_client.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <curl/curl.h>
#include <stdexcept>
#include <string_view>

namespace gooseberry::io {
namespace {

constexpr long kKeepAliveSeconds = 1;

/** Calls `curl_global_init` before the first handle. */
void
SetUpCurl()
{
  static const CURLcode kStatus = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (kStatus != CURLE_OK) {
    throw std::runtime_error(curl_easy_strerror(kStatus));
  }
}

struct list_deleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
using header_list = std::unique_ptr<curl_slist, list_deleter>;

header_list
HeaderList(const http_call& aCall)
{
  header_list list;
  const auto add = [&list](const std::string& aLine) {
    curl_slist* const longer = curl_slist_append(list.get(), aLine.c_str());
    if (longer == nullptr) {
      throw std::bad_alloc();
    }
    static_cast<void>(list.release());
    list.reset(longer);
  };
  add("Expect:"); // No round trip before the body.
  add("Content-Type: " + aCall.mContentType);
  for (const auto& [name, value] : aCall.mHeaders) {
    std::string line = name;
    line += ": ";
    add(line += value);
  }
  return list;
}

/** What one transfer leaves behind. */
struct transfer
{
  http_reply mReply;
  std::size_t mMaxReply = 0;
  int mSendings = 0; ///< How often the request was about to be sent.
  const std::function<bool()>* mBeforeSending = nullptr;
};

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto* const state = static_cast<transfer*>(aTransfer);
  const std::size_t length = aSize * aCount;
  if (state->mReply.mBody.size() + length > state->mMaxReply) {
    return 0; // Ends the transfer.
  }
  state->mReply.mBody.append(aData, length);
  return length;
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto* const state = static_cast<transfer*>(aTransfer);
  const std::string_view line(aData, aSize * aCount);
  if (const auto colon = line.find(':'); colon != std::string_view::npos) {
    std::string name(line.substr(0, colon));
    std::ranges::transform(name, name.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
    auto value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t\r\n") + 1);
    state->mReply.mHeaders.insert_or_assign(std::move(name),
                                            std::string(value));
  }
  return line.size();
}

// Called when a connection is there, before each sending. The library would
// send a request again, whatever it is, when a kept connection turns out dead:
// the second sending is refused.
int
OnSending(void* aTransfer, char*, char*, int, int)
{
  auto* const state = static_cast<transfer*>(aTransfer);
  const auto& before = *state->mBeforeSending;
  if (state->mSendings == 0 && before && !before()) {
    return CURL_PREREQFUNC_ABORT;
  }
  return ++state->mSendings > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/** Whether the other end said that nobody listens there. */
bool
IsRefused(CURL* aCurl, CURLcode aStatus)
{
  long reason = 0;
  curl_easy_getinfo(aCurl, CURLINFO_OS_ERRNO, &reason);
  return aStatus == CURLE_COULDNT_CONNECT && reason == ECONNREFUSED;
}

long
Milliseconds(core::duration aDuration)
{
  const auto time = std::chrono::ceil<std::chrono::milliseconds>(aDuration);
  return std::max<long>(1, time.count());
}

} // namespace

struct http_client::handle
{
  CURL* mCurl = nullptr;
};

http_client::http_client()
  : mHandle(std::make_unique<handle>())
{
  SetUpCurl();
  mHandle->mCurl = curl_easy_init();
  if (mHandle->mCurl == nullptr) {
    throw std::bad_alloc();
  }
}

http_client::~http_client()
{
  curl_easy_cleanup(mHandle->mCurl);
}

call_result<http_reply>
http_client::Send(const http_call& aCall)
{
  CURL* const curl = mHandle->mCurl;
  curl_easy_reset(curl); // Keeps the connections.
  transfer state;
  state.mMaxReply = aCall.mMaxReply;
  state.mBeforeSending = &aCall.mBeforeSending;
  const auto headers = HeaderList(aCall);
  curl_easy_setopt(curl, CURLOPT_URL, aCall.mUrl.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, aCall.mMethod.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  if (!aCall.mBody.empty() || aCall.mMethod == "POST" ||
      aCall.mMethod == "PUT") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aCall.mBody.data());
    curl_easy_setopt(curl,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(aCall.mBody.size()));
  }
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
  // A connection that the network has lost track of is found while a long
  // call waits for its answer.
  curl_easy_setopt(curl, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(curl, CURLOPT_TCP_KEEPIDLE, kKeepAliveSeconds);
  curl_easy_setopt(curl, CURLOPT_TCP_KEEPINTVL, kKeepAliveSeconds);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, Milliseconds(aCall.mDeadline));
  curl_easy_setopt(
    curl, CURLOPT_CONNECTTIMEOUT_MS, Milliseconds(aCall.mConnectDeadline));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &state);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &state);
  curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, OnSending);
  curl_easy_setopt(curl, CURLOPT_PREREQDATA, &state);
  const CURLcode status = curl_easy_perform(curl);
  if (status != CURLE_OK) {
    return call_error{ .mError = { .mStep = aCall.mMethod,
                                   .mPeer = aCall.mUrl,
                                   .mReason = curl_easy_strerror(status) },
                       .mDelivered = state.mSendings > 0,
                       .mRefused = IsRefused(curl, status) };
  }
  long code = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &code);
  state.mReply.mStatus = static_cast<unsigned>(code);
  return std::move(state.mReply);
}

std::string
EscapeUrl(const std::string& aText)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string text;
  for (const char c : aText) {
    const auto code = static_cast<unsigned char>(c);
    if ((code < 0x80 && std::isalnum(code) != 0) || c == '-' || c == '_' ||
        c == '.' || c == '~') {
      text += c;
    } else {
      text += '%';
      text += kHexDigits[code >> 4U];
      text += kHexDigits[code & 0xfU];
    }
  }
  return text;
}

} // namespace gooseberry::io
