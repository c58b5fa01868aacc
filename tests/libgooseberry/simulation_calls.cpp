#include "simulation.h"

/** Calls to the store. */
namespace gooseberry::simulation {

using namespace std::chrono_literals;

void
environment::CallStore(process& aFrom,
                       const std::function<action()>& aServe,
                       const action& aFailed)
{
  const std::uint64_t caller = aFrom.mIncarnation;
  const bool reached = ReachesStore(aFrom);
  At(mNow + 1ms + Latency(), [=, this, &aFrom] {
    const action reply = reached ? aServe() : aFailed;
    At(mNow + Latency(), [=, this, &aFrom] { Arrive(aFrom, caller, reply); });
  });
}

void
environment::Do(entry_process& aFrom, const entry::read_members&)
{
  const instant sentAt = mNow;
  CallStore(
    aFrom,
    [this, &aFrom, sentAt]() -> action {
      std::vector<membership::member_row> rows;
      for (const auto& [key, row] : mRows) {
        rows.push_back(row);
      }
      return [this, &aFrom, rows, sentAt] {
        WithEntry(aFrom, [&](entry::effects& aEffects) {
          entry::OnMembers(*aFrom.mControl, rows, sentAt, mNow, aEffects);
        });
      };
    },
    [this, &aFrom] {
      WithEntry(aFrom, [&](entry::effects& aEffects) {
        entry::OnMembersFailed(*aFrom.mControl, mNow, aEffects);
      });
    });
}

void
environment::Do(entry_process& aFrom, const entry::write_member& aEffect)
{
  const auto answer = [this, &aFrom](bool aStands) -> action {
    return [this, &aFrom, aStands] {
      WithEntry(aFrom, [&](entry::effects& aEffects) {
        entry::OnMemberWritten(*aFrom.mControl, aStands, mNow, aEffects);
      });
    };
  };
  CallStore(
    aFrom,
    [this, aEffect, answer]() {
      mRows[membership::RowKey(aEffect.mRow)] = aEffect.mRow;
      return answer(true);
    },
    answer(false));
}

void
environment::Do(entry_process& aFrom, const entry::delete_member& aEffect)
{
  CallStore(
    aFrom,
    [this, aEffect]() -> action {
      mRows.erase(membership::RowKey(aEffect.mRow));
      return [] {};
    },
    [] {});
}

void
environment::Do(entry_process& aFrom, const entry::read_configuration&)
{
  const instant sentAt = mNow;
  CallStore(
    aFrom,
    [this, &aFrom, sentAt]() -> action {
      return [this, &aFrom, row = mStored, sentAt] {
        WithEntry(aFrom, [&](entry::effects& aEffects) {
          entry::OnConfigurationRead(
            *aFrom.mControl, row, sentAt, mNow, aEffects);
        });
      };
    },
    [] {});
}

void
environment::Do(agent_process& aFrom, const agent::read_rows&)
{
  CallStore(
    aFrom,
    [this, &aFrom]() -> action {
      std::vector<membership::member_row> rows;
      for (const auto& [key, row] : mRows) {
        rows.push_back(row);
      }
      return [this, &aFrom, rows] {
        WithAgent(aFrom, [&](agent::effects& aEffects) {
          agent::OnRows(*aFrom.mControl, rows, mNow, aEffects);
        });
      };
    },
    [] {});
}

} // namespace gooseberry::simulation
