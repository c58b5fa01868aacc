#include "entry_fixture.h"

#include "libgooseberry/configuration/adoption.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <random>

using namespace gooseberry;
using namespace std::chrono_literals;

/** Load pattern: operators change their rows while some entries are cut off
 * from the table service, from each other, or both. */
namespace {

/** An entry whose last read is ten seconds old. */
struct outdated_entry : entry::test::leased_entry
{
  outdated_entry() { mNow += 10s; }

  core::heartbeat ReplyOf(core::duration aAge) const
  {
    core::heartbeat reply;
    reply.mEntry = { "b", 1 };
    reply.mAddress = "b:1";
    reply.mGeneration = mControl.mRow.mConfiguration.mGeneration;
    reply.mDigest = mControl.mDigest;
    reply.mEvidenceAge = aAge;
    return reply;
  }

  void Hear(const core::heartbeat& aReply, core::duration aTook = 50ms)
  {
    entry::OnHeartbeatReply(mControl, aReply, mNow - aTook, mNow, mEffects);
  }

  bool IsRecent() const { return entry::IsConfigurationRecent(mControl, mNow); }
};

entry::configuration_row
Version(core::generation aGeneration, int aText)
{
  auto row = entry::test::MakeConfiguration();
  row.mConfiguration.mGeneration = aGeneration;
  row.mConfiguration.mText +=
    "[service s" + std::to_string(aText) + "]\ntargets = *\n";
  row.mNumbering = configuration::numbering::ByRead;
  return row;
}

/** A store whose rows take turns among few texts, and entries of which reads
 * and replies are late by any time. */
struct evidence_world
{
  static constexpr std::size_t kEntries = 4;
  static constexpr int kTexts = 3;

  std::mt19937_64 mRandom;
  core::instant mNow{ 1000s };
  core::generation mVersion = 1;
  int mText = 0;
  std::array<core::instant, kTexts> mReplacedAt{}; ///< Of earlier texts.
  std::deque<entry::entry_control> mEntries;
  entry::effects mEffects;
  std::deque<std::function<void()>> mLate;

  explicit evidence_world(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t i = 0; i < kEntries; ++i) {
      auto options = entry::test::LeasedOptions();
      options.mName = "e" + std::to_string(i);
      mEntries.push_back(
        entry::MakeEntry(options, i + 1, i + 1, mNow, mEffects));
    }
  }

  std::size_t Draw(std::size_t aBelow)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBelow - 1)(mRandom);
  }

  void Change()
  {
    ++mVersion;
    mReplacedAt.at(static_cast<std::size_t>(mText)) = mNow;
    mText = (mText + 1 + static_cast<int>(Draw(kTexts - 1))) % kTexts;
  }

  void Read(std::size_t aEntry)
  {
    const auto sentAt = mNow - std::chrono::milliseconds(Draw(300));
    // What is read is as of now; the answer is handled at some later time.
    mLate.emplace_back([this, aEntry, sentAt, row = Version(mVersion, mText)] {
      entry::OnConfigurationRead(
        mEntries.at(aEntry), row, sentAt, mNow, mEffects);
    });
  }

  void Beat(std::size_t aFrom, std::size_t aTo)
  {
    auto& from = mEntries.at(aFrom);
    auto& to = mEntries.at(aTo);
    core::heartbeat beat;
    beat.mEntry = from.mSelf;
    beat.mGeneration = from.mRow.mConfiguration.mGeneration;
    beat.mDigest = from.mDigest;
    const auto reply = entry::OnHeartbeat(to, beat, mNow, mEffects);
    const auto sentAt = mNow - std::chrono::milliseconds(Draw(300));
    mLate.emplace_back([this, aFrom, reply, sentAt] {
      entry::OnHeartbeatReply(
        mEntries.at(aFrom), reply, sentAt, mNow, mEffects);
    });
  }

  void Deliver()
  {
    if (!mLate.empty()) {
      const auto at =
        mLate.begin() + static_cast<std::ptrdiff_t>(Draw(mLate.size()));
      const auto run = *at;
      mLate.erase(at);
      run();
    }
  }

  void Step()
  {
    constexpr std::size_t kOneInTen = 10;
    mNow += std::chrono::milliseconds(Draw(200));
    switch (Draw(4)) {
      case 0:
        return Draw(kOneInTen) == 0 ? Change() : Read(Draw(kEntries));
      case 1:
        return Beat(Draw(kEntries), Draw(kEntries));
      default:
        return Deliver();
    }
  }

  /** When the entry's text stopped being the newest one; now if it is. */
  core::instant CurrentUntil(const entry::entry_control& aEntry) const
  {
    for (int text = 0; text < kTexts; ++text) {
      const auto& known = Version(1, text).mConfiguration.mText;
      if (configuration::Digest(known) == aEntry.mDigest) {
        return text == mText ? mNow
                             : mReplacedAt.at(static_cast<std::size_t>(text));
      }
    }
    return {};
  }

  /** Entries that hold for recent what was replaced before the bound. */
  std::size_t Deceived() const
  {
    return static_cast<std::size_t>(
      std::count_if(mEntries.begin(), mEntries.end(), [this](const auto& aOne) {
        return entry::IsConfigurationRecent(aOne, mNow) &&
               CurrentUntil(aOne) < mNow - aOne.mOptions.mFreshnessBound;
      }));
  }

  std::size_t Recent() const
  {
    return static_cast<std::size_t>(
      std::count_if(mEntries.begin(), mEntries.end(), [this](const auto& aOne) {
        return entry::IsConfigurationRecent(aOne, mNow);
      }));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_evidence)

BOOST_FIXTURE_TEST_CASE(an_old_read_is_no_evidence, outdated_entry)
{
  BOOST_TEST(!IsRecent());
  BOOST_TEST((entry::ConfigurationAge(mControl, mNow) == 10s));
}

BOOST_FIXTURE_TEST_CASE(another_entrys_read_is_evidence_with_its_age,
                        outdated_entry)
{
  Hear(ReplyOf(200ms));
  BOOST_TEST(IsRecent());
  BOOST_TEST((entry::ConfigurationAge(mControl, mNow) == 250ms));
}

BOOST_FIXTURE_TEST_CASE(old_evidence_of_another_entry_is_none, outdated_entry)
{
  Hear(ReplyOf(9s));
  BOOST_TEST(!IsRecent());
}

BOOST_FIXTURE_TEST_CASE(a_read_of_another_configuration_is_no_evidence,
                        outdated_entry)
{
  auto reply = ReplyOf(0ms);
  reply.mDigest += 1;
  Hear(reply);
  BOOST_TEST(!IsRecent());
  reply.mDigest = 0; // Of a version that does not tell it.
  Hear(reply);
  BOOST_TEST(!IsRecent());
}

BOOST_FIXTURE_TEST_CASE(an_age_that_is_missing_or_negative_is_no_evidence,
                        outdated_entry)
{
  auto reply = ReplyOf(0ms);
  reply.mEvidenceAge.reset();
  Hear(reply);
  BOOST_TEST(!IsRecent());
  Hear(ReplyOf(-1ms));
  BOOST_TEST(!IsRecent());
}

BOOST_FIXTURE_TEST_CASE(a_reply_tells_the_age_of_the_evidence, outdated_entry)
{
  const auto reply = entry::OnHeartbeat(mControl, {}, mNow, mEffects);
  BOOST_TEST((reply.mEvidenceAge == 10s));
}

// The other entry's evidence would keep this one from asking for a second.
BOOST_FIXTURE_TEST_CASE(evidence_of_others_delays_no_question, outdated_entry)
{
  Hear(ReplyOf(0ms));
  mEffects.clear();
  auto newer = ReplyOf(0ms);
  newer.mGeneration += 1;
  newer.mDigest += 1;
  Hear(newer);
  const bool hasAsked =
    std::any_of(mEffects.begin(), mEffects.end(), [](const auto& aEffect) {
      const auto* beat = std::get_if<entry::send_heartbeat>(&aEffect);
      return beat != nullptr && !beat->mBeat.mReadsConfiguration;
    });
  BOOST_TEST(hasAsked);
}

// A slow read of what was changed and changed back came into force again,
// although the other entries had read the return.
BOOST_FIXTURE_TEST_CASE(a_read_from_before_anothers_is_outdated, outdated_entry)
{
  entry::OnConfigurationRead(mControl, Version(8, 1), mNow, mNow, mEffects);
  const auto digest = mControl.mDigest;
  auto reply = ReplyOf(0ms);
  reply.mConfirmedGeneration = 10;
  Hear(reply);
  entry::OnConfigurationRead(mControl, Version(9, 2), mNow, mNow, mEffects);
  BOOST_TEST(mControl.mDigest == digest);
  entry::OnConfigurationRead(mControl, Version(11, 2), mNow, mNow, mEffects);
  BOOST_TEST(mControl.mDigest != digest);
}

// Entries that hear only each other do not keep each other recent.
BOOST_AUTO_TEST_CASE(evidence_ages_while_it_is_passed_on)
{
  evidence_world world(1);
  for (std::size_t i = 0; i < evidence_world::kEntries; ++i) {
    world.Read(i);
  }
  while (!world.mLate.empty()) {
    world.Deliver();
  }
  BOOST_TEST(world.Recent() == evidence_world::kEntries);
  for (int round = 0; round < 30; ++round) {
    world.mNow += 100ms;
    world.Beat(0, 1);
    world.Beat(1, 0);
    while (!world.mLate.empty()) {
      world.Deliver();
    }
  }
  BOOST_TEST(world.Recent() == 0U);
}

BOOST_AUTO_TEST_CASE(no_recent_configuration_was_replaced_before_the_bound)
{
  constexpr std::uint64_t kWorlds = 60;
  constexpr int kSteps = 1'500;
  std::size_t recent = 0;
  for (std::uint64_t seed = 1; seed <= kWorlds; ++seed) {
    evidence_world world(seed);
    for (int step = 0; step < kSteps; ++step) {
      world.Step();
      recent += world.Recent();
      BOOST_REQUIRE_MESSAGE(world.Deceived() == 0U,
                            "seed " << seed << ", step " << step);
    }
  }
  BOOST_TEST(recent > kWorlds * kSteps); // The worlds do have evidence.
}

BOOST_AUTO_TEST_SUITE_END()
