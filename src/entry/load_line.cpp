#include "entry/load_line.h"

#include "libgooseberryio/log.h"

#include <algorithm>

namespace gooseberry::entry_program {

void
RecordInput(load_meter& aMeter, core::duration aBusy)
{
  aMeter.mBusy += aBusy;
  ++aMeter.mInputs;
}

void
RecordTick(load_meter& aMeter, core::duration aDelay)
{
  aMeter.mTickDelay += aDelay;
  ++aMeter.mTicks;
}

void
WriteLoadLine(load_meter& aMeter,
              const entry::entry_control& aControl,
              core::instant aNow)
{
  constexpr core::duration kInterval = std::chrono::seconds(1);
  if (aNow - aMeter.mSince < kInterval) {
    return;
  }
  const entry::entry_counters& now = aControl.mCounters;
  const entry::entry_counters& before = aMeter.mCounters;
  const auto ticks =
    static_cast<double>(std::max<std::uint64_t>(aMeter.mTicks, 1));
  io::log_event("entry_load")
    .Add("ms", core::ToMilliseconds(aNow - aMeter.mSince))
    .Add("control_ms", core::ToMilliseconds(aMeter.mBusy))
    .Add("wait_ms", core::ToMilliseconds(aMeter.mTickDelay) / ticks)
    .Add("inputs", aMeter.mInputs)
    .Add("submissions", now.mSubmissions - before.mSubmissions)
    .Add("starts", now.mStarts - before.mStarts)
    .Add("start_replies", now.mStartReplies - before.mStartReplies)
    .Add("demands", now.mBacklogCalls - before.mBacklogCalls)
    .Add("finishes", now.mFinishBatches - before.mFinishBatches)
    .Add("announces", now.mAnnounces - before.mAnnounces)
    .Add("heartbeats", now.mHeartbeats - before.mHeartbeats)
    .Add("shed", now.mShed - before.mShed)
    .Add("open_jobs", aControl.mOpenJobs)
    .Add("share_percent", quota::SharePercent(aControl.mQueueDelay));
  aMeter = { aNow, {}, {}, 0, 0, now };
}

} // namespace gooseberry::entry_program
