#pragma once

#include "libgooseberry/core/identity.h"
#include "libgooseberryio/http_server.h"

#include <functional>
#include <mutex>
#include <string>

/** What one fake entry holds, and how it misbehaves. */
struct fake_configuration
{
  gooseberry::core::generation mGeneration = 0;
  std::string mText;
  std::string mRequest;
  std::string mBy;
  int mPuts = 0;
  /** Called before each change is looked at, e.g. to let a rival win. */
  std::function<void(fake_configuration&)> mBeforePut;
  /** Called after each change was made. */
  std::function<void(fake_configuration&)> mAfterPut;
  int mCutAnswers = 0;   ///< Changes that take effect, the answer cut short.
  int mCutRequests = 0;  ///< Changes that are cut short and have no effect.
  bool mHasStore = true; ///< Without it a change gets a 503.
  bool mKnowsOutcome = true; ///< False: a change gets a 503, `settled` false.
};

/** An entry's operator interface over one configuration, for tests. */
class fake_operator_server
{
public:
  fake_operator_server();

  std::string Address() const;
  void Stop() { mServer.Stop(); }

  fake_configuration mState; ///< Of the test while no request runs.

private:
  gooseberry::io::http_response Put(const std::string& aBody);

  std::mutex mMutex;
  gooseberry::io::http_server mServer;
};

/** As a rival would: the next generation with another text. */
void
ApplyAsRival(fake_configuration& aState, const std::string& aText);
