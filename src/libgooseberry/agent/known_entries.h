#pragma once

#include "libgooseberry/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** The entries that the agent announces itself to. */
namespace gooseberry::agent {

struct known_entry
{
  std::string mName;
  bool mBacklog = false;             ///< Has tasks that found no free slot.
  std::int64_t mBacklogPriority = 0; ///< Of the first of these.
  core::instant mBacklogAt{};        ///< When it said so.
  bool mReportDue = false;           ///< Announce as soon as the gap allows.
  bool mInFlight = false;
  std::uint32_t mFailures = 0; ///< In a row.
  core::instant mLastSent{};
  core::instant mLastSeen{};
};

struct known_entries
{
  std::map<std::string, known_entry> mByAddress;
};

/** Takes up an entry; one that is known stays as it is. */
known_entry&
FindOrAddEntry(known_entries& aEntries,
               const std::string& aName,
               const std::string& aAddress,
               core::instant aNow);

/** Whether the entry has said lately that it has a backlog. */
bool
HasBacklog(const known_entry& aEntry, core::instant aNow);

/** Every entry that has a backlog is to hear of the grown capacity. */
void
RequestReportsForBacklogs(known_entries& aEntries);

/** Every entry is to hear of a change. */
void
RequestAllReports(known_entries& aEntries);

/** An announce or a finish, which says the same, goes to the entry now. */
void
RecordReportSent(known_entries& aEntries,
                 const std::string& aAddress,
                 core::instant aNow);

struct load_report_limits
{
  core::duration mInterval{};
  core::duration mMinGap{};
  core::duration mForgetAfter{}; ///< Silence after which an entry is dropped.
};

/** Addresses to announce to now; they count as in flight. */
std::vector<std::string>
CollectDueReports(known_entries& aEntries,
                  core::instant aNow,
                  const load_report_limits& aLimits);

/** An announce was answered, or not. */
void
RecordReportEnd(known_entries& aEntries,
                const std::string& aAddress,
                bool aIsAnswered,
                core::instant aNow);

} // namespace gooseberry::agent
