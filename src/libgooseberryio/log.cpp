#include "libgooseberryio/log.h"

#include "libgooseberryio/line_writer.h"

#include <atomic>
#include <exception>
#include <fstream>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <memory>
#include <unistd.h>

namespace gooseberry::io {
namespace {

constexpr const char* kPattern = "%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z %p %m%n";

std::atomic<log_level> sLevel = log_level::Off;

log4cxx::LoggerPtr
RootLogger()
{
  static const log4cxx::LoggerPtr kRoot = log4cxx::Logger::getRootLogger();
  return kRoot;
}

log4cxx::LevelPtr
ToLevel(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return log4cxx::Level::getDebug();
    case log_level::Info:
      return log4cxx::Level::getInfo();
    case log_level::Warning:
      return log4cxx::Level::getWarn();
    case log_level::Error:
      return log4cxx::Level::getError();
    case log_level::Off:
      break;
  }
  return log4cxx::Level::getOff();
}

bool
NeedsQuotes(std::string_view aValue)
{
  for (const char c : aValue) {
    if (c == ' ' || c == '"' || c == '=' || c == '\\' ||
        static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
      return true;
    }
  }
  return aValue.empty();
}

void
AppendEscaped(std::string& aText, char aCharacter)
{
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  const auto code = static_cast<unsigned char>(aCharacter);
  if (aCharacter == '"' || aCharacter == '\\') {
    aText += '\\';
    aText += aCharacter;
  } else if (aCharacter == '\n') {
    aText += "\\n";
  } else if (code < 0x20 || code == 0x7f) {
    aText += "\\x";
    aText += kHexDigits[code >> 4U];
    aText += kHexDigits[code & 0xfU];
  } else {
    aText += aCharacter;
  }
}

/** Hands lines for standard output to a writer, which nobody waits for. */
class output_appender : public log4cxx::AppenderSkeleton
{
public:
  explicit output_appender(const log4cxx::LayoutPtr& aLayout)
    : mLayout(aLayout)
    , mWriter(std::make_unique<line_writer>(STDOUT_FILENO))
  {
  }

  void close() override { mWriter.reset(); }
  bool requiresLayout() const override { return false; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr& aEvent,
              log4cxx::helpers::Pool& aPool) override
  {
    if (!mWriter) {
      return;
    }
    std::string line;
    mLayout->format(line, aEvent, aPool);
    mWriter->Add(line);
  }

private:
  const log4cxx::LayoutPtr mLayout;
  std::unique_ptr<line_writer> mWriter;
};
/** The library itself does not say so. */
bool
CanAppendTo(const std::string& aFile)
{
  return std::ofstream(aFile, std::ios::app).good();
}

} // namespace

std::optional<core::error>
SetUpLog(const log_settings& aSettings)
{
  if (!aSettings.mFile.empty() && !CanAppendTo(aSettings.mFile)) {
    return core::error{ .mStep = "open log",
                        .mPeer = aSettings.mFile,
                        .mReason = "cannot be written" };
  }
  try {
    const auto layout =
      std::make_shared<log4cxx::PatternLayout>(log4cxx::LogString(kPattern));
    log4cxx::AppenderPtr appender;
    if (aSettings.mFile.empty()) {
      appender = std::make_shared<output_appender>(layout);
    } else {
      appender =
        std::make_shared<log4cxx::FileAppender>(layout, aSettings.mFile, true);
    }
    const auto root = RootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(ToLevel(aSettings.mLevel));
    sLevel = aSettings.mLevel;
  } catch (const std::exception& failure) {
    return core::error{ .mStep = "open log",
                        .mPeer = aSettings.mFile,
                        .mReason = failure.what() };
  }
  return std::nullopt;
}

void
CloseLog()
{
  sLevel = log_level::Off;
  log4cxx::LogManager::shutdown();
}

bool
IsLogged(log_level aLevel)
{
  return aLevel >= sLevel.load(std::memory_order_relaxed);
}

log_event::log_event(std::string_view aName, log_level aLevel)
  : mLevel(aLevel)
  , mEnabled(IsLogged(aLevel))
{
  if (mEnabled) {
    constexpr std::size_t kUsualLine = 256;
    mLine.reserve(kUsualLine);
    mLine += "event=";
    mLine += QuoteLogValue(aName);
  }
}

log_event::~log_event()
{
  if (!mEnabled) {
    return;
  }
  try {
    RootLogger()->forcedLog(ToLevel(mLevel), mLine);
  } catch (const std::exception&) {
    // A log that cannot be written must not end the process.
    return;
  }
}

log_event&
log_event::Add(std::string_view aKey, std::string_view aValue)
{
  if (mEnabled) {
    AddRaw(aKey, QuoteLogValue(aValue));
  }
  return *this;
}

log_event&
log_event::Add(const core::error& aError)
{
  return Add("step", aError.mStep)
    .Add("peer", aError.mPeer)
    .Add("reason", aError.mReason);
}

void
log_event::AddRaw(std::string_view aKey, std::string_view aText)
{
  mLine += ' ';
  mLine += aKey;
  mLine += '=';
  mLine += aText;
}

std::string
QuoteLogValue(std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    return std::string(aValue);
  }
  std::string text = "\"";
  for (const char c : aValue) {
    AppendEscaped(text, c);
  }
  text += '"';
  return text;
}

} // namespace gooseberry::io
