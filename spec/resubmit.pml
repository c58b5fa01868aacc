/*
 * Runs under leases (docs/decisions/platform.md, "A job that is sent again"):
 * one task of one job, two targets. Never two runs of the task at a time, and
 * "not run" is never said of a submission that had or will have a run.
 *
 * Time is counted in ticks without end; clocks run alike. All times are kept as
 * ages up to a greatest one, or as what is left of them. Any step may wait for
 * ever: that covers pauses, deaths, cuts in one direction or both, and calls
 * that a target leaves unanswered. A start to an agent, a reply to it and a
 * start call to a target may be on the way for any time while others overtake
 * them; of the replies one at a time. An agent's message to an entry arrives in
 * the tick of its sending or never: a later one only makes the entry wait
 * longer, as what it proves is dated by its sending. A run may end at any time,
 * by itself or by a stop, so neither is shown; its lease ends it for certain.
 *
 * RESUBMISSION: the caller's connection breaks, and it asks the other entry.
 * ENTRY_RESTARTS: the first entry may die and be followed by another process.
 * AGENT_RESTARTS: another process takes the place of agent 0, which may still
 * be there. These keep the larger models small: STARTS, STARTS_OTHER, and
 * NO_REFUSALS (no entry says "not run").
 * A macro WITHOUT_... takes one rule away; spec/run expects an error then.
 */

#define RESUBMIT 5 /* a job may run elsewhere after it */
#ifdef WITHOUT_L7_MARGIN
#define HOLD 5
#else
#define HOLD 4 /* a run is over so long after its latest evidence */
#endif
#define SILENCE 3  /* it is stopped after it; the oldest stamp of a start */
#define VALID 2    /* the longest time in which a target takes a start */
#define SEEING 1   /* until a running entry sees that its caller has left */
#define ABSENT (RESUBMIT + 1) /* in place of an age: nothing is there */

/* Entry processes: the first, the other, and one that follows the first at its
 * address and holds no job. */
#define FIRST 0
#define OTHER 1
#define FOLLOWER 2
#define ENTRIES 3
/* Agent processes: 0 and 2 follow each other at target 0, 1 is at target 1. */
#define AGENTS 3
#define SUCCESSOR 2
#define TARGET(a) ((a) & 1)
#define NONE 3
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

/* State of the job at an entry. */
#define UNKNOWN 0
#define WAITING 1
#define OPEN 2 /* a start was sent; the run may go on */
#define ENDED 3
/* What an agent says of the start that an entry sent it last. */
#define NOTHING 0
#define ACCEPTED 1
#define REFUSED 2 /* also: accepted, and certain not to be carried out */
#define OVER 3

bool isBroken; /* the caller's connection to the first entry */
byte brokenAge;
byte unseen;     /* so long the first entry may act as if it were not */
bool isFollowed; /* the first entry has died, another process is there */

byte job[ENTRIES];
byte at[ENTRIES]; /* the agent of an open start */
byte heardAge[ENTRIES]; /* of the latest message of that agent */
byte starts[ENTRIES]; /* sent so far, up to MOST_STARTS */
bool mayHaveStarted[ENTRIES];
bool ranFor[ENTRIES]; /* a run was started, which the entry does not know */
bool saidNotRun[ENTRIES];
byte cancelAt = NONE; /* the agent that has not confirmed the cancellation */
byte cancelAge;
bool hasMet[ENTRIES]; /* the entry has heard the successor */
bool knows[ENTRIES];  /* and has heard its predecessor before */

/* Of an entry and an agent. */
#define OF(e, a) ((e) * AGENTS + (a))
byte verdict[ENTRIES * AGENTS]; /* the agent's */
byte start[ENTRIES * AGENTS];   /* age of the stamp of the start under way */

/* The late reply, and the age of the message that it answers. */
byte replyFrom;
byte replyTo;
byte replyAge = ABSENT;

bool hasRun[AGENTS];
bool isCarriedOut[AGENTS];
bool isStopping[AGENTS];
byte wantedAge[AGENTS];
byte holder[AGENTS];
bool isCancelled[AGENTS]; /* by the first entry; all its stamps are older */
byte validity[AGENTS];    /* what is left of the start call's */
byte token[AGENTS];
bool isReady[AGENTS];

byte runOf[2] = NONE; /* the agent whose run a target has */
byte leaseLeft[2]; /* at the most, after all renewals so far */
byte highestToken[2];

hidden byte other;
byte i;

#ifdef WITHOUT_L1_STAMP
#define START_EVIDENCE(age) 0
#else
#define START_EVIDENCE(age) (age)
#endif
#ifdef WITHOUT_L1_SEND_TIME
#define REPLY_EVIDENCE(age) 0
#else
#define REPLY_EVIDENCE(age) (age)
#endif
#ifdef WITHOUT_L2_INCARNATION
#define IS_HOLDER(e, a) \
  (holder[a] == (e) || (holder[a] == FIRST && (e) == FOLLOWER))
#else
#define IS_HOLDER(e, a) (holder[a] == (e))
#endif
#ifdef WITHOUT_L3_HOLD
#define LONGEST(a) HOLD
#else
#define LONGEST(a) (HOLD - wantedAge[a])
#endif
#ifdef WITHOUT_L4_REPLY
#define CANCELS(e, a) false
#else
#define CANCELS(e, a) ((e) == FIRST && cancelAt == (a))
#endif
#ifdef WITHOUT_L4_FREEZE
#define IS_FROZEN(a) false
#else
#define IS_FROZEN(a) isStopping[a]
#endif
#ifdef WITHOUT_L5_CANCELLED
#define IS_CANCELLED(e, a) false
#else
#define IS_CANCELLED(e, a) ((e) == FIRST && isCancelled[a])
#endif
#ifdef WITHOUT_L6_STAMP
#define IS_STALE(age) false
#else
#define IS_STALE(age) ((age) > SILENCE)
#endif
#ifdef WITHOUT_L7_LOST
#define LOST_AFTER SILENCE
#else
#define LOST_AFTER RESUBMIT
#endif
#ifdef WITHOUT_L8_TOKEN
#define KNOWS_TOKEN true
#else
#define KNOWS_TOKEN (highestToken[0] >= token[SUCCESSOR])
#endif
#ifdef WITHOUT_L8_CLEAN
#define IS_CLEAN true
#else
#define IS_CLEAN (runOf[0] == NONE)
#endif
#ifdef WITHOUT_L9_SENT
#define MAY_HAVE_STARTED(e) mayHaveStarted[e]
#else
#define MAY_HAVE_STARTED(e) true
#endif
/* An old start does not take over a run that is there. */
#ifdef WITHOUT_L11_ORDER
#define MAY_TAKE_OVER(e, a, age) true
#else
#define MAY_TAKE_OVER(e, a, age) \
  (!IS_CANCELLED(e, a) && !IS_STALE(age))
#endif

/* How often an entry starts the task, 0: without bound. Where both agents are
 * alike, the first start goes to agent 0; that is no limit then. */
#ifndef STARTS
#define STARTS 0
#endif
#ifndef STARTS_OTHER
#define STARTS_OTHER STARTS
#endif
#define MOST_STARTS(e) ((e) == FIRST -> STARTS : STARTS_OTHER)
#ifdef AGENT_RESTARTS
#define MAY_BEGIN(e, a) true
#else
#define MAY_BEGIN(e, a) ((e) != FIRST || starts[e] > 0 || (a) == 0)
#endif
#define MAY_PLACE(e, a) (MAY_BEGIN(e, a) && \
  (MOST_STARTS(e) == 0 || starts[e] < MOST_STARTS(e)))

#define ACTS(e) ((e) != FIRST || \
  (!isFollowed && (!isBroken || job[FIRST] == ENDED || unseen > 0)))

/* A copy of a start that is neither open nor under way needs no record. */
inline Forget(e, a)
{
  if
  :: start[OF(e, a)] == ABSENT && !(job[e] == OPEN && at[e] == a) &&
       !(hasRun[a] && holder[a] == e) -> verdict[OF(e, a)] = NOTHING
  :: else -> skip
  fi
}

inline NoteStarted(e, value)
{
#ifdef NO_REFUSALS
  skip
#else
  mayHaveStarted[e] = value;
  ranFor[e] = ranFor[e] && !value
#endif
}

/* The task of entry e is not open any more. */
inline Leave(e, next)
{
  job[e] = next;
  other = at[e];
  at[e] = 0;
  heardAge[e] = 0;
  Forget(e, other);
  other = 0
}

/* Renewals: none counts by itself, as a run may end at any time anyway. */
inline Renew(a)
{
  if
  :: runOf[TARGET(a)] == a && hasRun[a] &&
       token[a] >= highestToken[TARGET(a)] ->
    leaseLeft[TARGET(a)] = MAX(leaseLeft[TARGET(a)], LONGEST(a))
  :: else -> skip
  fi
}

inline TakeCancellation(a)
{
  isCancelled[a] = true;
  isStopping[a] = isStopping[a] || (hasRun[a] && holder[a] == FIRST)
}

/* What proves nothing any more. */
#ifdef WITHOUT_L1_SEND_TIME
#define IS_REPLY_IDLE (replyAge != ABSENT && !hasRun[replyTo])
#else
#define IS_REPLY_IDLE (replyAge != ABSENT && \
  (!hasRun[replyTo] || wantedAge[replyTo] <= replyAge || replyAge >= HOLD))
#endif

inline DropReply()
{
  replyFrom = 0;
  replyTo = 0;
  replyAge = ABSENT
}

inline DropIdleReply()
{
  if
  :: IS_REPLY_IDLE -> DropReply()
  :: else -> skip
  fi
}

inline TakeReply(e, a, age, cancels)
{
  if
  :: cancels -> TakeCancellation(a)
  :: else -> skip
  fi;
  if
  :: hasRun[a] && IS_HOLDER(e, a) && !IS_FROZEN(a) ->
    wantedAge[a] = MIN(wantedAge[a], REPLY_EVIDENCE(age));
    Renew(a);
    DropIdleReply()
  :: else -> skip
  fi
}

/* A start finds the run of another one there: that counts as its own now. */
inline TakeOver(e, a, age)
{
  if
  :: !IS_FROZEN(a) && holder[a] == e ->
    wantedAge[a] = MIN(wantedAge[a], START_EVIDENCE(age))
  :: !IS_FROZEN(a) && holder[a] != e -> wantedAge[a] = START_EVIDENCE(age)
  :: else -> skip
  fi;
  other = holder[a];
  holder[a] = e;
  Forget(other, a);
  other = 0;
  verdict[OF(e, a)] = ACCEPTED;
  Renew(a)
}

inline Accept(e, a, age)
{
  hasRun[a] = true;
  wantedAge[a] = START_EVIDENCE(age);
  holder[a] = e;
  verdict[OF(e, a)] = ACCEPTED;
  validity[a] = MIN(VALID, LONGEST(a))
}

inline TakeStart(e, a, age)
{
  if
  :: verdict[OF(e, a)] != NOTHING -> skip /* a copy */
  :: else ->
    if
    :: hasRun[a] && MAY_TAKE_OVER(e, a, age) -> TakeOver(e, a, age)
    :: !hasRun[a] && isReady[a] && !IS_CANCELLED(e, a) && !IS_STALE(age) ->
      Accept(e, a, age)
    :: else -> verdict[OF(e, a)] = REFUSED
    fi
  fi;
  start[OF(e, a)] = ABSENT;
  Forget(e, a)
}

inline EndRun(a, how)
{
  other = holder[a];
  if
  :: verdict[OF(other, a)] == ACCEPTED -> verdict[OF(other, a)] = how
  :: else -> skip
  fi;
  hasRun[a] = false;
  isCarriedOut[a] = false;
  isStopping[a] = false;
  wantedAge[a] = 0;
  holder[a] = 0;
  validity[a] = 0;
  Forget(other, a);
  other = 0;
  DropIdleReply()
}

proctype Entry(byte e)
{
end:
  do
  /* The caller of the first entry has left. */
  :: d_step { e == FIRST && isBroken && !isFollowed && job[FIRST] != ENDED ->
       if
       :: job[FIRST] == OPEN -> cancelAt = at[FIRST]
       :: else -> skip
       fi;
       unseen = 0;
       Leave(FIRST, ENDED) }
#ifdef WITHOUT_L10_LOOK
  /* The entry stood still, and has not seen it yet. */
  :: d_step { e == FIRST && isBroken && !isFollowed && job[FIRST] != ENDED &&
       unseen == 0 -> unseen = SEEING }
#endif
  :: d_step { e == FIRST && cancelAt != NONE && cancelAge >= RESUBMIT ->
       cancelAt = NONE; cancelAge = 0 }
#ifndef NO_REFUSALS
  :: d_step { ACTS(e) && job[e] == WAITING && !mayHaveStarted[e] ->
       job[e] = ENDED;
       saidNotRun[e] = true;
       assert(!ranFor[e]) }
#endif
  /* The start is sent again, with a newer stamp. */
  :: d_step { ACTS(e) && job[e] == OPEN && verdict[OF(e, at[e])] == NOTHING &&
       heardAge[e] < start[OF(e, at[e])] ->
       start[OF(e, at[e])] = heardAge[e] }
  /* The agent's answer or result. */
  :: d_step { ACTS(e) && job[e] == OPEN && verdict[OF(e, at[e])] == ACCEPTED ->
       NoteStarted(e, true) }
  :: d_step { ACTS(e) && job[e] == OPEN && verdict[OF(e, at[e])] == REFUSED ->
       Leave(e, WAITING) }
  :: d_step { ACTS(e) && job[e] == OPEN && verdict[OF(e, at[e])] == OVER ->
       NoteStarted(e, true);
       Leave(e, WAITING) }
  /* The agent was not heard for too long. */
  :: d_step { ACTS(e) && job[e] == OPEN &&
       heardAge[e] >= LOST_AFTER ->
       NoteStarted(e, MAY_HAVE_STARTED(e));
       Leave(e, WAITING) }
#ifdef AGENT_RESTARTS
  /* Another process is the agent now, and offers the target. */
  :: d_step { ACTS(e) && job[e] == OPEN && at[e] == 0 && hasMet[e] ->
       NoteStarted(e, true);
       Leave(e, WAITING) }
#endif
  od
}

/* What an entry and an agent say to each other. */
#define IS_THERE(e) (ACTS(e) && (e != FOLLOWER || isFollowed))

inline Hear(e, a)
{
  if
  :: job[e] == OPEN && at[e] == a && !(a == 0 && hasMet[e]) -> heardAge[e] = 0
  :: else -> skip
  fi
}

proctype Link(byte e; byte a)
{
end:
  do
  /* The entry hears the agent; its reply arrives at once, late or never. */
  :: d_step { IS_THERE(e) && job[e] == OPEN && at[e] == a && heardAge[e] != 0 ->
       Hear(e, a) }
  :: d_step { IS_THERE(e) && hasRun[a] &&
       (wantedAge[a] != 0 || CANCELS(e, a)) ->
       Hear(e, a);
       TakeReply(e, a, 0, CANCELS(e, a)) }
  /* One with a cancellation need not be late: that itself may be. */
  :: d_step { IS_THERE(e) && IS_HOLDER(e, a) && hasRun[a] && !CANCELS(e, a) &&
       wantedAge[a] != 0 && replyAge == ABSENT ->
       Hear(e, a);
       replyFrom = e;
       replyTo = a;
       replyAge = 0 }
  :: d_step { replyAge != ABSENT && replyFrom == e && replyTo == a ->
       TakeReply(e, a, replyAge, false);
       DropReply() }
#ifdef AGENT_RESTARTS
  :: d_step { a == SUCCESSOR && e != FOLLOWER && isReady[a] && !hasMet[e] ->
       hasMet[e] = true }
#endif
#ifdef WITHOUT_L13_ORDER
  /* A late message of the predecessor, which the entry takes for the newer. */
  :: d_step { a == 0 && e != FOLLOWER && hasMet[e] && !knows[e] &&
       job[e] == OPEN && at[e] == SUCCESSOR ->
       NoteStarted(e, true);
       Leave(e, WAITING) }
#endif
  /* A start, by what the entry hears now: an older stamp proves less. */
  :: d_step { ACTS(e) && e != FOLLOWER && job[e] == WAITING && isReady[a] &&
       (a != 0 || !hasMet[e]) && MAY_PLACE(e, a) ->
       starts[e] = MIN(starts[e] + 1, MAX(MOST_STARTS(e), 1));
       job[e] = OPEN;
       at[e] = a;
       heardAge[e] = 0;
       hasMet[e] = hasMet[e] || a == SUCCESSOR;
#ifdef WITHOUT_L13_ORDER
       knows[e] = knows[e] || a == 0;
#endif
       verdict[OF(e, a)] = NOTHING;
       start[OF(e, a)] = 0 }
  :: d_step { start[OF(e, a)] != ABSENT -> TakeStart(e, a, start[OF(e, a)]) }
  /* A cancellation arrives; its confirmation may be lost. */
  :: d_step { e == FIRST && cancelAt == a && !isCancelled[a] ->
       TakeCancellation(a) }
  :: d_step { e == FIRST && cancelAt == a && isCancelled[a] ->
       cancelAt = NONE; cancelAge = 0 }
  od
}

proctype Agent(byte a)
{
end:
  do
  /* The target takes the start. */
  :: d_step { hasRun[a] && !isCarriedOut[a] && validity[a] > 0 &&
       token[a] >= highestToken[TARGET(a)] && runOf[TARGET(a)] == NONE ->
       highestToken[TARGET(a)] = token[a];
       isCarriedOut[a] = true;
       runOf[TARGET(a)] = a;
       leaseLeft[TARGET(a)] = LONGEST(a);
       validity[a] = 0;
#ifndef NO_REFUSALS
       ranFor[holder[a]] = !mayHaveStarted[holder[a]];
#endif
       assert(runOf[1 - TARGET(a)] == NONE); /* no two runs at a time */
       assert(!saidNotRun[holder[a]]) }
  /* A report shows that the run is over, or will never begin. */
  :: d_step { hasRun[a] && isCarriedOut[a] && runOf[TARGET(a)] != a ->
       EndRun(a, OVER) }
  :: d_step { hasRun[a] && !isCarriedOut[a] && (isStopping[a] ||
       validity[a] == 0 || token[a] < highestToken[TARGET(a)]) ->
       EndRun(a, REFUSED) }
#ifdef AGENT_RESTARTS
  /* The successor: a token, which the target sees, and a report. */
  :: d_step { a == SUCCESSOR && token[a] == 0 -> token[a] = token[0] + 1 }
  :: d_step { a == SUCCESSOR && token[a] > highestToken[0] ->
       highestToken[0] = token[a] }
  :: d_step { a == SUCCESSOR && token[a] != 0 && !isReady[a] && KNOWS_TOKEN &&
       IS_CLEAN -> isReady[a] = true }
#ifdef WITHOUT_L12_YIELD
  /* A process that stood still takes a higher token than its successor's. */
  :: d_step { a == 0 && token[a] < highestToken[0] && token[a] < 3 ->
       token[a] = highestToken[0] + 1 }
#endif
#endif
  od
}

proctype Target(byte t)
{
end:
  do
  :: d_step { runOf[t] != NONE -> runOf[t] = NONE; leaseLeft[t] = 0 }
  od
}

#ifdef RESUBMISSION
proctype Caller()
{
end:
  do
  :: d_step { !isBroken && job[FIRST] != ENDED ->
       isBroken = true; unseen = SEEING + 1 }
  :: d_step { isBroken && job[OTHER] == UNKNOWN && brokenAge >= RESUBMIT ->
       job[OTHER] = WAITING }
#ifdef ENTRY_RESTARTS
  :: d_step { isBroken && !isFollowed ->
       isFollowed = true;
       unseen = 0;
       Leave(FIRST, ENDED);
       cancelAt = NONE; cancelAge = 0 }
#endif
  od
}
#endif

inline Age(value, most)
{
  value = (value < (most) -> value + 1 : value)
}

/* One that would be refused, where nobody waits for the answer. */
inline DropIdleStart(i)
{
#ifndef WITHOUT_L6_STAMP
#ifndef WITHOUT_L11_ORDER
  if
  :: start[i] == HOLD &&
       !(job[i / AGENTS] == OPEN && at[i / AGENTS] == i % AGENTS) ->
    start[i] = ABSENT;
    Forget(i / AGENTS, i % AGENTS)
  :: else -> skip
  fi
#else
  skip
#endif
#else
  skip
#endif
}

inline Shrink(value)
{
  value = (value > 0 -> value - 1 : 0)
}

proctype Clock()
{
end:
  do
  :: d_step {
       if
       :: isBroken -> Age(brokenAge, RESUBMIT)
       :: else -> skip
       fi;
       Shrink(unseen);
       if
       :: cancelAt != NONE -> Age(cancelAge, RESUBMIT)
       :: else -> skip
       fi;
       if
       :: replyAge != ABSENT -> Age(replyAge, HOLD)
       :: else -> skip
       fi;
       do
       :: i < ENTRIES ->
         if
         :: job[i] == OPEN -> Age(heardAge[i], RESUBMIT)
         :: else -> skip
         fi;
         i++
       :: else -> break
       od;
       i = 0;
       do
       :: i < ENTRIES * AGENTS ->
         if
         :: start[i] != ABSENT -> Age(start[i], HOLD)
         :: else -> skip
         fi;
         DropIdleStart(i);
         i++
       :: else -> break
       od;
       i = 0;
       do
       :: i < AGENTS ->
         if
         :: hasRun[i] -> Age(wantedAge[i], HOLD)
         :: else -> skip
         fi;
         Shrink(validity[i]);
         i++
       :: else -> break
       od;
       DropIdleReply();
       i = 0;
       do
       :: i < 2 ->
         Shrink(leaseLeft[i]);
#ifdef WITHOUT_L3_HOLD
         leaseLeft[i] = (runOf[i] == NONE -> 0 : HOLD);
#endif
         if
         :: leaseLeft[i] == 0 -> runOf[i] = NONE
         :: else -> skip
         fi;
         i++
       :: else -> break
       od;
       i = 0 }
  od
}

init
{
  atomic {
    do
    :: i < ENTRIES * AGENTS ->
      start[i] = ABSENT;
      i++
    :: else -> break
    od;
    i = 0;
    token[0] = 1;
    token[1] = 1;
    isReady[0] = true;
    isReady[1] = true;
    job[FIRST] = WAITING;
    run Entry(FIRST);
    run Link(FIRST, 0);
    run Link(FIRST, 1);
#ifdef RESUBMISSION
    run Entry(OTHER);
    run Link(OTHER, 0);
    run Link(OTHER, 1);
#endif
#ifdef ENTRY_RESTARTS
    run Link(FOLLOWER, 0);
    run Link(FOLLOWER, 1);
#endif
#ifdef AGENT_RESTARTS
    run Link(FIRST, SUCCESSOR);
#ifdef RESUBMISSION
    run Link(OTHER, SUCCESSOR);
#endif
    run Agent(SUCCESSOR);
#endif
    run Agent(0);
    run Agent(1);
    run Target(0);
    run Target(1);
#ifdef RESUBMISSION
    run Caller();
#endif
    run Clock()
  }
}
