/*
 * Configuration and freshness (R10, R11 of docs/PROTOCOL.md): three entries,
 * one agent, the table service, and one change that takes the agent's failure
 * domain out. Time is counted in ticks without end; BOUND is the freshness
 * bound. All times are kept as ages of at most OLD, so the states are finite.
 *
 * Any step may wait for ever: that covers pauses, cuts, lost messages and a
 * table service that is down. A request is answered with what the answering
 * side knew when it was sent, the oldest that it can hold. Of the answers to
 * entries one at a time may be late; the agent's may be late too.
 */

#define ENTRIES 3
#define MAJORITY 2
#ifndef BOUND
#define BOUND 2
#endif
#define OLD (BOUND + 1)
#define IN 1  /* the generation with the domain in */
#define OUT 2 /* the generation with the domain out */
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define OLDER(age) MIN((age) + 1, OLD)

byte stored = IN;
byte writes;
bool isAnswered; /* an operator got "accepted" */
byte answeredAge;

byte generation[ENTRIES];
byte evidenceAge[ENTRIES];
bool isWriter[ENTRIES];
/* The late answer: to which entry, from the table service or an entry. */
byte lateTo = ENTRIES; /* ENTRIES: none */
byte lateGeneration;
byte lateAge;

byte agentGeneration = IN;
byte agentAge;
byte replyGeneration; /* the answer on its way to the agent; 0: none */
byte replyAge;
bool queued;
hidden byte was;

#ifdef WITHOUT_R10_GREATER
#define NEWER(own, other) (other)
#else
#define NEWER(own, other) MAX(own, other)
#endif
#ifdef WITHOUT_R11_SEND_TIME
#define EVIDENCE_OF(sentAge) 0
#else
#define EVIDENCE_OF(sentAge) (sentAge)
#endif
#ifdef WITHOUT_R11_AGE
#define REPLY_AGE(e) 0
#else
#define REPLY_AGE(e) evidenceAge[e]
#endif
#ifdef WITHOUT_R11_FRESHNESS
#define IS_FRESH true
#else
#define IS_FRESH (agentAge <= BOUND)
#endif
#ifdef WITHOUT_R10_OWN_DOMAIN
#define IS_IN true
#else
#define IS_IN (agentGeneration == IN)
#endif
#ifdef WITHOUT_R5_RECHECK
#define MAY_LEAVE_QUEUE true
#else
#define MAY_LEAVE_QUEUE (IS_FRESH && IS_IN)
#endif
#ifdef WITHOUT_R10_COMPARE_AND_SET
#define MAY_WRITE(e) (generation[e] == IN)
#else
#define MAY_WRITE(e) (generation[e] == IN && stored == IN)
#endif
/* A change counts as accepted once most entries have it. */
#define HAVE_IT ((generation[0] == OUT) + (generation[1] == OUT) + (generation[2] == OUT))
#ifdef WITHOUT_R10_MAJORITY
#define IS_ACCEPTED true
#else
#define IS_ACCEPTED (HAVE_IT >= MAJORITY)
#endif

inline Adopt(e, newer)
{
  was = generation[e];
  generation[e] = NEWER(was, newer);
  assert(generation[e] >= was); /* never back */
  was = 0
}

inline Start()
{
  assert(!isAnswered || answeredAge <= BOUND)
}

/* Entry e asks, and the answer holds the given generation. */
inline TakeAtOnce(e, newer)
{
  Adopt(e, newer);
  evidenceAge[e] = 0
}

inline DropLate()
{
  lateTo = ENTRIES;
  lateGeneration = 0;
  lateAge = 0
}

proctype Entry(byte e)
{
end:
  do
  /* A store read. */
  :: d_step { evidenceAge[e] != 0 || generation[e] != stored ->
       TakeAtOnce(e, stored) }
  :: d_step { lateTo == ENTRIES -> lateTo = e; lateGeneration = stored }
  /* The late answer arrives, or is lost. */
  :: d_step { lateTo == e && lateAge > 0 ->
       Adopt(e, lateGeneration);
       evidenceAge[e] = MIN(evidenceAge[e], EVIDENCE_OF(lateAge));
       DropLate() }
  :: d_step { lateTo == e && lateAge > 0 ->
       DropLate() }
  /* An operator's change. */
  :: d_step { MAY_WRITE(e) && !isWriter[e] ->
       stored = OUT;
       writes++;
       assert(writes <= 1); /* one of two rivals */
       isWriter[e] = true;
       generation[e] = OUT }
  :: d_step { isWriter[e] && !isAnswered && IS_ACCEPTED -> isAnswered = true }
  /* The agent's announce is answered; an entry out of touch gives no evidence. */
  :: d_step { evidenceAge[e] <= BOUND ->
       replyAge = REPLY_AGE(e); replyGeneration = generation[e] }
  od
}

/* A heartbeat of entry e that entry f answers; a pushed configuration. */
proctype Link(byte e; byte f)
{
end:
  do
  :: d_step { evidenceAge[e] != 0 || generation[f] > generation[e] ->
       TakeAtOnce(e, generation[f]) }
  :: d_step { lateTo == ENTRIES -> lateTo = e; lateGeneration = generation[f] }
  :: d_step { generation[f] > generation[e] -> Adopt(e, generation[f]) }
  od
}

proctype Agent()
{
end:
  do
  :: d_step { replyGeneration != 0 ->
       assert(NEWER(agentGeneration, replyGeneration) >= agentGeneration);
       agentGeneration = NEWER(agentGeneration, replyGeneration);
       if
       :: agentGeneration <= replyGeneration ->
         agentAge = MIN(agentAge, replyAge)
       :: else -> skip
       fi;
       replyAge = 0; replyGeneration = 0 }
  /* R5: domain and freshness at the start, and again after a wait. */
  :: d_step { IS_FRESH && IS_IN -> Start() }
  :: d_step { IS_FRESH && IS_IN && !queued -> queued = true }
  :: d_step { queued && MAY_LEAVE_QUEUE -> Start(); queued = false }
  :: d_step { queued && !(IS_FRESH && IS_IN) -> queued = false } /* returned */
  od
}

proctype Clock()
{
end:
  do
  :: d_step {
       evidenceAge[0] = OLDER(evidenceAge[0]);
       evidenceAge[1] = OLDER(evidenceAge[1]);
       evidenceAge[2] = OLDER(evidenceAge[2]);
       if
       :: lateTo != ENTRIES -> lateAge = OLDER(lateAge)
       :: else -> skip
       fi;
       if
       :: replyGeneration != 0 -> replyAge = OLDER(replyAge)
       :: else -> skip
       fi;
       if
       :: isAnswered -> answeredAge = OLDER(answeredAge)
       :: else -> skip
       fi;
       agentAge = OLDER(agentAge) }
  od
}

init
{
  byte i;
  byte j;
  atomic {
    for (i : 0 .. ENTRIES - 1) { generation[i] = IN }
    for (i : 0 .. ENTRIES - 1) {
      run Entry(i);
      for (j : 0 .. ENTRIES - 1) {
        if
        :: i != j -> run Link(i, j)
        :: else -> skip
        fi
      }
    }
    run Agent();
    run Clock();
    i = 0;
    j = 0
  }
}
