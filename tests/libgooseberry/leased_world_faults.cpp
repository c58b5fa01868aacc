#include "leased_world.h"

#include <algorithm>
#include <array>
#include <sstream>

/** Faults, and overlapping series of random faults. */
namespace gooseberry::leased_world {

using namespace std::chrono_literals;

void
world::Cut(cut aCut)
{
  aCut.mFrom = mNow;
  std::ostringstream text;
  text << (aCut.mIsHeld ? "held up" : "lost") << " for "
       << core::ToMilliseconds(aCut.mUntil - mNow) << " ms";
  if (aCut.mChannel) {
    text << " kind " << static_cast<int>(*aCut.mChannel);
  }
  for (const auto& [from, to] : aCut.mFromTo) {
    text << ' ' << from << '>' << to;
  }
  RecordFault(text.str());
  mCuts.push_back(std::move(aCut));
}

cut
world::MakeCut(const std::set<std::size_t>& aEntries,
               const std::set<std::size_t>& aAgents,
               bool aToEntries,
               bool aToAgents,
               duration aTime) const
{
  cut made;
  made.mUntil = mNow + aTime;
  for (const std::size_t entry : aEntries) {
    for (const std::size_t agent : aAgents) {
      const std::string& left = mEntries[entry].mName;
      const std::string& right = mAgents[agent].mName;
      if (aToEntries) {
        made.mFromTo.insert({ right, left });
      }
      if (aToAgents) {
        made.mFromTo.insert({ left, right });
      }
    }
  }
  return made;
}

std::set<std::size_t>
world::DrawSubset(std::size_t aCount)
{
  std::set<std::size_t> subset{ static_cast<std::size_t>(Draw(0, aCount - 1)) };
  for (std::size_t i = 0; i < aCount; ++i) {
    if (Chance(0.4)) {
      subset.insert(i);
    }
  }
  return subset;
}

world::action
world::DrawCut()
{
  const auto entries = DrawSubset(mEntries.size());
  const auto agents = DrawSubset(mAgents.size());
  const auto direction = Draw(0, 2);
  const bool isHeld = Chance(0.4);
  const duration time =
    Chance(0.6) ? Milliseconds(900, 1'700) : Milliseconds(200, 5'000);
  std::optional<channel> kind;
  if (Chance(0.25)) {
    kind = static_cast<channel>(Draw(0, static_cast<int>(channel::Finish)));
  }
  return [=, this] {
    cut made = MakeCut(entries, agents, direction != 1, direction != 0, time);
    made.mChannel = kind;
    made.mIsHeld = isHeld;
    Cut(std::move(made));
  };
}

world::action
world::DrawProcessFault(std::uint64_t aKind)
{
  const bool isEntry = Chance(0.5);
  const std::size_t index =
    Draw(0, (isEntry ? mEntries.size() : mAgents.size()) - 1);
  process& affected = isEntry ? static_cast<process&>(mEntries[index])
                              : static_cast<process&>(mAgents[index]);
  const duration downTime = Milliseconds(20, Chance(0.5) ? 300 : 2'500);
  const duration time = Milliseconds(100, 4'000);
  switch (aKind) {
    case 0:
      return [=, this, &affected] { Freeze(affected, time); };
    case 1:
      return [=, this] {
        isEntry ? KillEntry(index, downTime) : KillAgent(index, downTime);
      };
    default:
      return [=, this, &affected, by = Milliseconds(20, 400)] {
        Slow(affected, by, time);
      };
  }
}

world::action
world::DrawTargetFault()
{
  constexpr std::array kShares{ 0.3, 0.7, 1.0 };
  const std::size_t target = Draw(0, mTargets.size() - 1);
  const duration time = Milliseconds(20, 3'000);
  if (Chance(0.4)) {
    return [=, this] { CrashTarget(target, time / 2); };
  }
  std::optional<std::size_t> only;
  if (Chance(0.5)) {
    only = Draw(0, std::variant_size_v<lease::call> - 1);
  }
  const double share = kShares[Draw(0, kShares.size() - 1)];
  return [=, this] { HangTarget(target, { mNow + time, share, only, false }); };
}

world::action
world::DrawFault()
{
  const auto drawn = Draw(0, 9);
  if (drawn < 4) {
    return DrawCut();
  }
  return drawn < 8 ? DrawProcessFault(drawn % 3) : DrawTargetFault();
}

void
world::DrawSeries(instant aFrom, instant aEnd)
{
  const action fault = DrawFault();
  const auto times = Chance(0.5) ? Draw(3, 14) : Draw(1, 3);
  instant at = aFrom;
  for (std::uint64_t i = 0; i < times && at < aEnd; ++i) {
    At(at, fault);
    at += Milliseconds(600, 3'500);
  }
}

void
world::DrawFaults(instant aEnd)
{
  const auto series = Draw(3, 9);
  const auto span = static_cast<std::uint64_t>((aEnd - mNow).count());
  for (std::uint64_t i = 0; i < series; ++i) {
    DrawSeries(mNow + duration(Draw(0, span)), aEnd);
  }
}

} // namespace gooseberry::leased_world
