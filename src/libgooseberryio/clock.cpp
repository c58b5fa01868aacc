#include "libgooseberryio/clock.h"

#include <ctime>

namespace gooseberry::io {

namespace {

core::duration
Read(clockid_t aClock)
{
  timespec reading{};
  clock_gettime(aClock, &reading);
  return std::chrono::duration_cast<core::duration>(
    std::chrono::seconds(reading.tv_sec) +
    std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace

core::instant
Now()
{
  return core::instant(Read(CLOCK_BOOTTIME));
}

core::duration
ProcessorTime()
{
  return Read(CLOCK_PROCESS_CPUTIME_ID);
}

} // namespace gooseberry::io
