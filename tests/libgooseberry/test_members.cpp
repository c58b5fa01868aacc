#include "libgooseberry/membership/members.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr core::instant kStart{ 100s };
constexpr const char* kLiveAddress = "10.1.0.13:7720";

membership::member_row
EntryRow(const char* aName, std::uint64_t aIncarnation, const char* aAddress)
{
  return {
    membership::role::Entry, { aName, aIncarnation }, aAddress, "north"
  };
}

/**
 * Returns the members of entry `a`: the live row of `b`, and conflicting rows
 * of the same name before and after it.
 */
membership::members
WithConflictingRows()
{
  membership::members members;
  members.mSelf = { "a", 1 };
  members.mRows = { EntryRow("a", 1, "10.1.0.12:7720"),
                    EntryRow("b", ~0ULL, "10.9.9.9:1"),
                    EntryRow("b", 7, kLiveAddress),
                    EntryRow("b", 8, "10.9.9.9:2") };
  return members;
}

void
ReceiveHeartbeat(membership::members& aMembers, core::instant aNow)
{
  core::heartbeat message;
  message.mEntry = { "b", 7 };
  message.mAddress = kLiveAddress;
  membership::RecordHeartbeat(aMembers, message, aNow);
}

} // namespace

BOOST_AUTO_TEST_SUITE(members)

BOOST_AUTO_TEST_CASE(conflicting_rows_of_a_name_do_not_hide_the_live_one)
{
  auto members = WithConflictingRows();
  const auto rows = membership::OtherRows(members, membership::role::Entry);
  BOOST_TEST(std::count_if(rows.begin(), rows.end(), [](const auto& aRow) {
               return aRow.mAddress == kLiveAddress;
             }) == 1);
  ReceiveHeartbeat(members, kStart);
  BOOST_TEST(membership::EntryAddress(members, "b") == kLiveAddress);
  BOOST_TEST(membership::IsRecentlySeen(members, members.mRows[2], kStart, 1s));
  const auto live = membership::LiveEntryRows(members);
  BOOST_REQUIRE_EQUAL(live.size(), 1U);
  BOOST_TEST(live.front().mAddress == kLiveAddress);
}

BOOST_AUTO_TEST_CASE(only_conflicting_rows_become_obsolete)
{
  auto members = WithConflictingRows();
  for (const core::duration after : { 0s, 30s, 61s }) {
    ReceiveHeartbeat(members, kStart + after);
    const auto obsolete =
      membership::ObsoleteRows(members, kStart + after, 1s, 60s);
    BOOST_TEST(obsolete.size() == (after > 60s ? 2U : 0U));
    for (const auto& row : obsolete) {
      BOOST_TEST(row.mAddress != kLiveAddress);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
