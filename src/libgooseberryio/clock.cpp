#include "libgooseberryio/clock.h"

#include <ctime>

namespace gooseberry::io {

core::instant
Now()
{
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return core::instant(std::chrono::duration_cast<core::duration>(
    std::chrono::seconds(reading.tv_sec) +
    std::chrono::nanoseconds(reading.tv_nsec)));
}

} // namespace gooseberry::io
