#include "libgooseberryio/entry_settings.h"
#include "libgooseberryio/program.h"
#include "libgooseberryio/stop_signals.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <sstream>
#include <unistd.h>
#include <vector>

using namespace gooseberry;
using namespace gooseberry::io;

namespace {

constexpr auto kSignalWait = std::chrono::seconds(5);

/** Catches what is written to a standard stream. */
class captured
{
public:
  explicit captured(std::ostream& aStream)
    : mStream(aStream)
    , mBefore(aStream.rdbuf(mText.rdbuf()))
  {
  }
  ~captured() { mStream.rdbuf(mBefore); }
  captured(const captured&) = delete;
  captured& operator=(const captured&) = delete;
  std::string Text() const { return mText.str(); }

private:
  std::ostream& mStream;
  std::ostringstream mText;
  std::streambuf* mBefore;
};

/** What a run of a daemon's command line gives. */
struct outcome
{
  std::variant<entry_settings, exit_code> mResult;
  std::string mOut;
  std::string mError;
};

outcome
Run(std::vector<const char*> aWords)
{
  aWords.insert(aWords.begin(), "gooseberry-entry");
  const captured out(std::cout);
  const captured error(std::cerr);
  const program about{ "gooseberry-entry",
                       "Takes jobs.",
                       EntrySettingsReference() };
  auto result = ReadProgramSettings<entry_settings>(
    about, ParseEntrySettings, static_cast<int>(aWords.size()), aWords.data());
  return { std::move(result), out.Text(), error.Text() };
}

exit_code
CodeOf(const outcome& aOutcome)
{
  return std::get<exit_code>(aOutcome.mResult);
}

constexpr const char* kExample = GOOSEBERRY_SOURCE_DIR "/examples/entry.ini";

} // namespace

BOOST_AUTO_TEST_SUITE(program_command_line)

BOOST_AUTO_TEST_CASE(settings_are_read)
{
  const auto run = Run({ "--settings", kExample });
  BOOST_TEST(std::get<entry_settings>(run.mResult).mName == "entry-1");
}

BOOST_AUTO_TEST_CASE(settings_are_checked)
{
  const auto run = Run({ "--settings", kExample, "--check-settings" });
  BOOST_TEST((CodeOf(run) == exit_code::Ok));
  BOOST_TEST(run.mOut.ends_with("settings are valid\n"));
}

BOOST_AUTO_TEST_CASE(reference_help_and_version_end_well)
{
  const auto reference = Run({ "--print-settings-reference" });
  BOOST_TEST((CodeOf(reference) == exit_code::Ok));
  BOOST_TEST(reference.mOut == EntrySettingsReference());
  const auto help = Run({ "--help" });
  BOOST_TEST((CodeOf(help) == exit_code::Ok));
  BOOST_TEST(help.mOut.find("Exit codes") != std::string::npos);
  BOOST_TEST((CodeOf(Run({ "--version" })) == exit_code::Ok));
}

BOOST_AUTO_TEST_CASE(bad_command_lines_are_usage_errors)
{
  for (const auto& words : std::vector<std::vector<const char*>>{
         {},
         { "--no-such-option" },
         { "--settings" },
         { "--settings", "/no/such/file" },
         { "--settings", "/" },
         { "--settings", kExample, "--settings", kExample },
         { "--settings", GOOSEBERRY_SOURCE_DIR "/examples/agent.ini" } }) {
    const auto run = Run(words);
    BOOST_TEST((CodeOf(run) == exit_code::BadSettings));
    BOOST_TEST(run.mError.starts_with("gooseberry-entry: "), run.mError);
  }
}

BOOST_AUTO_TEST_CASE(first_signal_drains_and_second_stops)
{
  std::atomic<bool> isStopped{ false };
  stop_signals signals([&] { isStopped = true; });
  BOOST_TEST(!signals.WaitFor(std::chrono::milliseconds(1)));
  kill(getpid(), SIGTERM);
  BOOST_TEST(signals.WaitFor(kSignalWait));
  BOOST_TEST(!isStopped);
  kill(getpid(), SIGINT);
  for (int i = 0; i < 500 && !isStopped; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(isStopped);
}

BOOST_AUTO_TEST_SUITE_END()
