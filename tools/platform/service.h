#pragma once

#include "libgooseberryio/http_server.h"
#include "platform/store.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace gooseberry::platform {

/** What goes wrong on purpose. */
struct faults
{
  bool mDown = false; ///< Every request is answered 503, with no effect.
  std::uint32_t mDelayMs = 0; ///< Before each request takes effect.
  /** Probability that the answer to a write is cut after it took effect. */
  double mLoseAnswers = 0;
  /** Probability that a request is cut before it takes effect. */
  double mReset = 0;
};

/** The stand-in: the HTTP interface of the platform and of its faults. */
class service
{
public:
  /** `aAddress` is `IP:PORT`; `aSeed` decides which requests meet a fault. */
  service(const std::string& aAddress, std::uint64_t aSeed);

  std::optional<core::error> Start();
  void Stop();
  std::uint16_t Port() const;

  void SetFaults(const faults& aFaults);
  std::uint64_t ReadCount() const;
  std::uint64_t WriteCount() const;

private:
  enum class effect : std::uint8_t
  {
    Read,
    Write,
  };

  void AddRoutes();
  void Route(const std::string& aMethod,
             const std::string& aPattern,
             effect aEffect,
             io::http_response (service::*aHandler)(const io::http_request&));
  io::http_response WithFaults(effect aEffect,
                               io::http_request& aRequest,
                               const io::http_handler& aHandler);
  /** True with the given probability. */
  bool Happens(double aProbability);

  io::http_response ReadRow(const io::http_request& aRequest);
  io::http_response ListRows(const io::http_request& aRequest);
  io::http_response WriteRow(const io::http_request& aRequest);
  io::http_response DeleteRow(const io::http_request& aRequest);
  io::http_response GetObject(const io::http_request& aRequest);
  io::http_response PutObject(const io::http_request& aRequest);
  io::http_response DeleteObject(const io::http_request& aRequest);
  io::http_response ReadFaults(const io::http_request& aRequest);
  io::http_response WriteFaults(const io::http_request& aRequest);

  mutable std::mutex mMutex; ///< Guards all below but the server.
  store mStore;
  faults mFaults;
  std::mt19937_64 mRandom;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  io::http_server mServer;
};

} // namespace gooseberry::platform
