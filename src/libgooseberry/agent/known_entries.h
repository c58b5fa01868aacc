#pragma once

#include "libgooseberry/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** The entries that the agent sends load reports to. */
namespace gooseberry::agent {

struct known_entry
{
  std::string mName;
  bool mBacklog = false;             ///< Has tasks without a free slot.
  std::int64_t mBacklogPriority = 0; ///< Of the first such task.
  core::instant mBacklogAt{};        ///< When the entry reported it.
  bool mReportDue = false;           ///< Report as soon as the gap allows.
  bool mInFlight = false;
  std::uint32_t mFailures = 0; ///< Consecutive.
  core::instant mLastSent{};
  core::instant mLastSeen{};
};

struct known_entries
{
  std::map<std::string, known_entry> mByAddress;
};

/** Returns the entry at `aAddress`, added if new, and updates its name. */
known_entry&
FindOrAddEntry(known_entries& aEntries,
               const std::string& aName,
               const std::string& aAddress,
               core::instant aNow);

/** Returns whether the entry has reported a backlog recently. */
bool
HasBacklog(const known_entry& aEntry, core::instant aNow);

/** Makes load reports due for all entries with a backlog, as capacity has
 * grown. */
void
RequestReportsForBacklogs(known_entries& aEntries);

/** Makes load reports due for all entries. */
void
RequestAllReports(known_entries& aEntries);

/** Records that a load report, or a finish call with the same state, is sent to
 * the entry now. */
void
RecordReportSent(known_entries& aEntries,
                 const std::string& aAddress,
                 core::instant aNow);

struct load_report_limits
{
  core::duration mInterval{};
  core::duration mMinGap{};
  core::duration mForgetAfter{}; ///< Failing entries are dropped after this.
};

/** Returns the addresses that a load report is due for, and marks them as in
 * flight. */
std::vector<std::string>
CollectDueReports(known_entries& aEntries,
                  core::instant aNow,
                  const load_report_limits& aLimits);

/** Records that a load report was answered or failed. */
void
RecordReportEnd(known_entries& aEntries,
                const std::string& aAddress,
                bool aIsAnswered,
                core::instant aNow);

} // namespace gooseberry::agent
