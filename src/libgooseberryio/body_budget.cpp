#include "libgooseberryio/body_budget.h"

#include <algorithm>

namespace gooseberry::io {
namespace {

/** Capacity of the first block of a body whose length is not announced. */
constexpr std::size_t kFirstBlock = 1'024; // bytes
/** Connections that are left free, as a share of all: one in so many. */
constexpr std::size_t kFreeShare = 16;

} // namespace

body_budget::body_budget(std::size_t aMaxBytes, std::size_t aMaxBody)
  : mMaxBytes(std::max(aMaxBytes, aMaxBody))
  , mMaxOfLarge(std::max(mMaxBytes - mMaxBytes / 4, aMaxBody))
{
}

std::size_t
body_budget::LimitOf(std::size_t aBodyBytes) const
{
  return aBodyBytes <= kSmallBody ? mMaxBytes : mMaxOfLarge;
}

bool
body_budget::Reserve(std::size_t aHeld, std::size_t aMore)
{
  const std::size_t limit = LimitOf(aHeld + aMore);
  std::size_t used = mUsed;
  do {
    if (used + aMore > limit) {
      return false;
    }
  } while (!mUsed.compare_exchange_weak(used, used + aMore));
  return true;
}

void
body_budget::Release(std::size_t aBytes)
{
  mUsed -= aBytes;
}

bool
body_budget::HasRoom(std::size_t aBytes) const
{
  return mUsed + aBytes <= LimitOf(aBytes);
}

void
body_budget::CountDrop(drop_reason aReason)
{
  const std::lock_guard lock(mMutex);
  ++mDrops.at(static_cast<std::size_t>(aReason));
}

drop_counts
body_budget::Drops() const
{
  const std::lock_guard lock(mMutex);
  return mDrops;
}

std::optional<drop_counts>
body_budget::TakeUnloggedDrops()
{
  const std::lock_guard lock(mMutex);
  if (mLogged == mDrops) {
    return std::nullopt;
  }
  mLogged = mDrops;
  return mDrops;
}

arriving_body::arriving_body(body_budget& aBudget, std::size_t aMaxBody)
  : mBudget(aBudget)
  , mMaxBytes(aMaxBody)
{
}

arriving_body::~arriving_body()
{
  Release();
}

std::optional<drop_reason>
arriving_body::Announce(std::optional<std::uint64_t> aLength)
{
  if (aLength && *aLength > mMaxBytes) {
    return drop_reason::BodyTooLarge;
  }
  if (aLength) {
    mMaxBytes = *aLength;
  }
  if (!mBudget.HasRoom(aLength.value_or(kFirstBlock))) {
    return drop_reason::BuffersFull;
  }
  return std::nullopt;
}

std::optional<drop_reason>
arriving_body::Append(std::string_view aBytes)
{
  const std::size_t size = mText.size() + aBytes.size();
  if (size > mMaxBytes) {
    return drop_reason::BodyTooLarge;
  }
  if (size > mReserved) {
    if (const auto reason = Grow(size)) {
      return reason;
    }
  }
  mText += aBytes;
  return std::nullopt;
}

/** Doubles the capacity, so that small pieces are not copied again and again;
 * the whole of a small body at once. */
std::optional<drop_reason>
arriving_body::Grow(std::size_t aBytes)
{
  const std::size_t first =
    mMaxBytes <= body_budget::kSmallBody ? mMaxBytes : kFirstBlock;
  const std::size_t capacity =
    std::min(mMaxBytes, std::max({ aBytes, 2 * mReserved, first }));
  if (!mBudget.Reserve(mReserved, capacity - mReserved)) {
    return drop_reason::BuffersFull;
  }
  mReserved = capacity;
  // A string that grows in place takes twice its old capacity at least, which
  // may be more than is reserved.
  std::string larger;
  larger.reserve(capacity);
  larger += mText;
  mText = std::move(larger);
  return std::nullopt;
}

void
arriving_body::Release()
{
  mText = {};
  mBudget.Release(mReserved);
  mReserved = 0;
}

bool
IsLate(const open_connection& aConnection,
       const arrival_limits& aLimits,
       core::instant aNow)
{
  const auto waited = aNow - aConnection.mSince;
  switch (aConnection.mPhase) {
    case connection_phase::Handled:
      return false;
    case connection_phase::Arriving:
      return waited > std::min(aLimits.mIdleTimeout, aLimits.mBodyTimeout);
    case connection_phase::New:
    case connection_phase::Kept:
      break;
  }
  return waited > aLimits.mIdleTimeout;
}

bool
IsShort(const open_connections& aOpen, const arrival_limits& aLimits)
{
  const std::size_t free =
    std::max<std::size_t>(1, aLimits.mMaxConnections / kFreeShare);
  return aOpen.size() + free > aLimits.mMaxConnections;
}

std::optional<int>
ChooseUnfinished(const open_connections& aOpen, core::instant aNow)
{
  const open_connection* chosen = nullptr;
  std::optional<int> socket;
  for (const auto& [candidate, connection] : aOpen) {
    const bool isArriving = connection.mPhase == connection_phase::Arriving;
    if (connection.mIsClosing ||
        (!isArriving && connection.mPhase != connection_phase::New) ||
        aNow - connection.mSince < kUnfinishedGrace) {
      continue;
    }
    const bool chosenArrives =
      chosen != nullptr && chosen->mPhase == connection_phase::Arriving;
    if (chosen == nullptr || (isArriving && !chosenArrives) ||
        (isArriving == chosenArrives && connection.mSince < chosen->mSince)) {
      chosen = &connection;
      socket = candidate;
    }
  }
  return socket;
}

std::optional<int>
ChooseIdle(const open_connections& aOpen, core::instant aNow)
{
  std::optional<int> socket;
  core::instant oldest = aNow - kUnfinishedGrace;
  for (const auto& [candidate, connection] : aOpen) {
    if (connection.mPhase == connection_phase::Kept && !connection.mIsClosing &&
        connection.mSince <= oldest) {
      oldest = connection.mSince;
      socket = candidate;
    }
  }
  return socket;
}

} // namespace gooseberry::io
