#pragma once

#include "libgooseberryio/http_server.h"
#include "libgooseberryio/platform_client.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace gooseberry::test {

/** What the stand-in does to one call instead of answering it as it should. */
enum class store_fault : std::uint8_t
{
  None,
  Unavailable, ///< 503, nothing done.
  TooMany,     ///< 429, nothing done.
  AnswerLost,  ///< Done, and the connection ends within the answer.
  Late,        ///< Done, and answered after the caller's deadline.
  Unreadable,  ///< Answered with bytes that are no JSON.
};

/** A store of rows that speaks the platform's protocol, on a port of its own.
 */
class store_standin
{
public:
  store_standin();

  /** Settings of a client of it. */
  io::platform_settings Settings() const;

  /** The next calls, one fault each; later calls are answered as they should.
   */
  void Fail(std::deque<store_fault> aFaults);

  /** Writes a row as the operators do. */
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aText);

  /** Deletes a row as the operators do. */
  void Remove(const std::string& aTable, const std::string& aKey);

  /** The next calls are answered with these bodies, the last one for ever. */
  void Say(std::deque<std::string> aBodies);

  std::size_t Calls() const;

  /** Bytes of the answers to reads. */
  std::size_t BytesRead() const;

private:
  struct row
  {
    std::string mValue; ///< Base64.
    std::uint64_t mVersion = 0;
  };

  io::http_response Serve(const io::http_request& aRequest, bool aIsRead);
  io::http_response Read(const io::http_request& aRequest) const;
  io::http_response Write(const io::http_request& aRequest);

  mutable std::mutex mMutex;
  std::map<std::string, std::map<std::string, row>> mTables;
  std::uint64_t mVersion = 0;
  std::size_t mCalls = 0;
  mutable std::size_t mBytesRead = 0;
  std::deque<store_fault> mFaults;
  std::deque<std::string> mBodies;
  io::http_server mServer;
};

} // namespace gooseberry::test
