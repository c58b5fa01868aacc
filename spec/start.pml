/*
 * The start protocol of docs/PROTOCOL.md for one job of one task.
 *
 * Every process below is one loop of indivisible steps, and any step may wait
 * for ever: a paused, cut off or dead entry is one whose steps do not come.
 * Starts and answers stay in the network once sent, so each may be lost, late
 * or repeated. A time-out may come at any moment.
 *
 * Sizes: ENTRIES and AGENTS; the last of each joins late where LATE_ENTRY or
 * LATE_AGENT is set. RESTART: agent 0 may end at any moment. MISSES: a recovery
 * may give up waiting for an agent. SECOND_OUTCOME: checks the outcomes.
 * These keep the larger models small: NO_REFUSALS (no agent is busy),
 * NO_LOST_ANSWERS (an answer to a question is lost only as a time-out),
 * FIRST_AT_ENTRY_0 (the callers' first attempt goes to entry 0 and the others
 * elsewhere). STAMPS lets recorded refusals expire.
 * A macro WITHOUT_... takes one rule away; spec/run expects an error then.
 */

#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef AGENTS
#define AGENTS 2
#endif
#ifndef MAX_ROUND
#define MAX_ROUND 3
#endif
#ifndef RESUBMISSIONS
#define RESUBMISSIONS 2
#endif
#ifndef PLACEMENTS_EACH
#define PLACEMENTS_EACH 2
#endif
#define PLACEMENTS (ENTRIES * PLACEMENTS_EACH)

#define BIT(i) (1 << (i))
#define BALLOT(round, entry) ((round) * 4 + (entry))
#define ROUND(ballot) ((ballot) >> 2)
#define PAIR(asked, entry) ((asked) * ENTRIES + (entry))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define ALL_ENTRIES (BIT(ENTRIES) - 1)
#define ALL_AGENTS (BIT(AGENTS) - 1)
#define LATE_E (ENTRIES - 1)
#define LATE_A (AGENTS - 1)

/* Phases of the job at an entry. */
#define NONE 0
#define LOCATING 1
#define RECOVERING 2
#define HOME 3
#define ATTACHED 4
#define ENDED 5
#define REFUSED 6 /* answered "not run" */
#define SPENT 7   /* no round left: the bound of the model */

/* The table service: one bit for each registered incarnation. */
byte entryRows;
byte agentRows;

/* Entries. */
byte phase[ENTRIES];
byte ballot[ENTRIES];
byte note[ENTRIES];
byte seenEntries[ENTRIES]; /* rows as last read */
byte seenAgents[ENTRIES];
byte answered[ENTRIES];
byte missing[ENTRIES];
bool reread[ENTRIES];      /* the rows were read after the answers */
byte foundAt[ENTRIES];     /* agent + 1 that has started the task */
byte current[ENTRIES];     /* placement + 1 that is under way */
byte placed[ENTRIES];      /* placements used */
bool entryOpen[ENTRIES];
bool blind[ENTRIES];       /* opened without notes */
bool silentEntry[ENTRIES]; /* an entry did not answer before the recovery */
bool adopted[ENTRIES];     /* a start of another entry was found */
bool ownStarted[ENTRIES];  /* a start of its own took place; for the checks */

/* Agents. */
byte fence[AGENTS];
bool isFenced[AGENTS];
byte record[AGENTS];       /* placement + 1 that was started */
byte refusals;             /* recorded refusals, one bit for each placement */
bool agentOpen[AGENTS];
bool ended[AGENTS];

/* The network: one bit for each placement. Verdicts are for the present one. */
#ifdef WITHOUT_LOCATE_BALLOT
short unknownAnswers;
#endif
#ifdef WITHOUT_FENCE_BALLOT
short emptyAnswers;
#endif
byte sent;
byte late;                 /* the echoed stamp is past the bound */
byte accepted;
byte refused;
byte fenced;
byte placementAgent[PLACEMENTS];
byte placementBallot[PLACEMENTS];

/* Callers and what is checked. */
bool firstUsed;
byte resubmitted;
byte starts;
bool complete;
bool failed;

/* Leaves nothing behind that no step reads again. */
inline Forget(e)
{
  silentEntry[e] = false;
  answered[e] = 0;
  missing[e] = 0;
  reread[e] = false;
  foundAt[e] = 0
}

inline Close(e, newPhase)
{
  Forget(e);
  current[e] = 0;
  seenEntries[e] = 0;
  seenAgents[e] = 0;
  phase[e] = newPhase
}

inline Attach(e)
{
  Forget(e);
  phase[e] = ATTACHED
}

inline StartLocating(e)
{
  above = MAX(ROUND(ballot[e]), ROUND(note[e]));
  Forget(e);
  if
  :: above + 1 > MAX_ROUND -> Close(e, SPENT)
  :: else ->
    ballot[e] = BALLOT(MAX(2, above + 1), e);
    phase[e] = LOCATING
  fi
}

inline StartRecovering(e)
{
  phase[e] = RECOVERING;
  above = silentEntry[e];
  Forget(e);
  silentEntry[e] = above;
  above = 0
}

inline BecomeHome(e)
{
  phase[e] = HOME;
  answered[e] = 0;
  missing[e] = 0;
  reread[e] = false;
  current[e] = 0
}

inline End(e, isComplete)
{
  Close(e, ENDED);
  if
  :: isComplete -> complete = true
  :: else -> failed = true
  fi;
#ifdef SECOND_OUTCOME
  assert(!(complete && failed));
#endif
}

/* R8: the answer is "undecided", and no outcome. The job is forgotten here but
 * for its note, which says that a start may have been made. */
inline Undecide(e)
{
  note[e] = MAX(note[e], ballot[e]);
#ifndef WITHOUT_R8_NOTE
  adopted[e] = true;
#endif
  Close(e, NONE)
}

#ifdef WITHOUT_R7_LOCATE
#define AGENT_ENDED(e) End(e, false)
#else
#define AGENT_ENDED(e) adopted[e] = true; StartLocating(e); above = 0
#endif

#define HAVE(e, rows) (((rows) & ~(answered[e] | missing[e])) == 0)
#define OTHERS(e) (entryRows & ~BIT(e))

/* R8: of the missing agents, one is not known to have ended; or an entry that
 * may have the outcome has not answered. */
#define ENDED_AGENTS ((ended[0] -> 1 : 0) | (ended[1] -> 2 : 0) | ENDED_LAST)
#if AGENTS > 2
#define ENDED_LAST (ended[2] -> 4 : 0)
#else
#define ENDED_LAST 0
#endif
#ifdef WITHOUT_R8_ENTRY
#define IsAnySilent(e) ((missing[e] & ~ENDED_AGENTS) != 0)
#else
#define IsAnySilent(e) (silentEntry[e] || (missing[e] & ~ENDED_AGENTS) != 0)
#endif

#ifdef WITHOUT_R2_REREAD
#define ALL_LOCATED(e) HAVE(e, seenEntries[e])
#else
#define ALL_LOCATED(e) reread[e]
#endif
#ifdef WITHOUT_R3_REREAD
#define ALL_FENCED(e) HAVE(e, seenAgents[e])
#else
#define ALL_FENCED(e) reread[e]
#endif
#ifdef WITHOUT_R1_NOTE
#define TRUSTED(e) (!blind[e])
#else
#ifdef WITHOUT_R1_TRUST
#define TRUSTED(e) (note[e] == 0)
#else
#define TRUSTED(e) (!blind[e] && note[e] == 0)
#endif
#endif

#ifdef WITHOUT_OWN_START_CHECK
#define MAY_HAVE_STARTED(e) false
#else
#define MAY_HAVE_STARTED(e) (current[e] != 0 || adopted[e])
#endif

#ifdef FIRST_AT_ENTRY_0
#define TAKES_FIRST(e) ((e) == 0)
#define TAKES_RESUBMISSION(e) ((e) != 0)
#else
#define TAKES_FIRST(e) true
#define TAKES_RESUBMISSION(e) true
#endif

inline DropVerdicts(p)
{
  accepted = accepted & ~BIT(p);
  refused = refused & ~BIT(p);
  fenced = fenced & ~BIT(p)
}

proctype Entry(byte e)
{
  byte above;
end:
  do
  /* Submissions. */
  :: d_step { entryOpen[e] && phase[e] == NONE && !firstUsed && TAKES_FIRST(e) ->
       firstUsed = true;
       if
       :: TRUSTED(e) -> ballot[e] = BALLOT(1, e); BecomeHome(e)
       :: else -> StartLocating(e)
       fi; above = 0 }
  :: d_step { entryOpen[e] && phase[e] == NONE && resubmitted < RESUBMISSIONS &&
       TAKES_RESUBMISSION(e) ->
       resubmitted++;
       StartLocating(e); above = 0 }
  /* R2, R3: the rows are read again after the answers. */
  :: d_step { phase[e] == LOCATING && !reread[e] && HAVE(e, seenEntries[e]) ->
       seenEntries[e] = OTHERS(e);
       seenAgents[e] = agentRows;
       reread[e] = HAVE(e, seenEntries[e]) }
  :: d_step { phase[e] == RECOVERING && !reread[e] && HAVE(e, seenAgents[e]) ->
       seenEntries[e] = OTHERS(e);
       seenAgents[e] = agentRows;
       reread[e] = HAVE(e, seenAgents[e]) }
  /* R2: nobody has the job. An own start that was fenced may still run. */
  :: d_step { phase[e] == LOCATING && ALL_LOCATED(e) ->
       if
       :: missing[e] != 0 || MAY_HAVE_STARTED(e) -> StartRecovering(e)
       :: else -> BecomeHome(e)
       fi }
  /* Refused by admission: "not run". */
  :: d_step { phase[e] == LOCATING && ALL_LOCATED(e) && missing[e] == 0 &&
       !MAY_HAVE_STARTED(e) ->
       Close(e, REFUSED); assert(!ownStarted[e]) }
  :: d_step { phase[e] == RECOVERING && ALL_FENCED(e) ->
       if
       :: foundAt[e] != 0 -> adopted[e] = true; BecomeHome(e)
       :: foundAt[e] == 0 && missing[e] == 0 -> BecomeHome(e)
#ifdef WITHOUT_R8_UNKNOWN
       :: foundAt[e] == 0 && missing[e] != 0 -> BecomeHome(e)
#else
       :: foundAt[e] == 0 && IsAnySilent(e) -> Undecide(e)
       :: foundAt[e] == 0 && missing[e] != 0 && !IsAnySilent(e) ->
         End(e, false)
#endif
       fi }
  :: d_step { phase[e] == RECOVERING && ALL_FENCED(e) && foundAt[e] == 0 &&
       missing[e] == 0 ->
       Close(e, REFUSED); assert(!ownStarted[e]) }
  /* The supposed home is silent. */
  :: d_step { phase[e] == ATTACHED -> StartLocating(e); above = 0 }
  /* The agent's verdict on the present placement. */
  :: d_step { phase[e] == HOME && foundAt[e] == 0 && current[e] != 0 &&
       (accepted & BIT(current[e] - 1)) != 0 ->
       foundAt[e] = placementAgent[current[e] - 1] + 1;
       DropVerdicts(current[e] - 1) }
  :: d_step { phase[e] == HOME && foundAt[e] == 0 && current[e] != 0 &&
       (refused & BIT(current[e] - 1)) != 0 ->
       DropVerdicts(current[e] - 1); current[e] = 0 }
  :: d_step { phase[e] == HOME && foundAt[e] == 0 && current[e] != 0 &&
       (fenced & BIT(current[e] - 1)) != 0 ->
       DropVerdicts(current[e] - 1); StartLocating(e); above = 0 } /* R12 */
#ifdef WITHOUT_R7_SILENCE
  :: d_step { phase[e] == HOME && foundAt[e] == 0 && current[e] != 0 ->
       current[e] = 0 }
#endif
  /* R7: the agent's incarnation has ended: another entry may have the
   * outcome. */
  :: d_step { phase[e] == HOME && foundAt[e] != 0 && ended[foundAt[e] - 1] ->
       AGENT_ENDED(e) }
  :: d_step { phase[e] == HOME && foundAt[e] == 0 && current[e] != 0 &&
       ended[placementAgent[current[e] - 1]] -> AGENT_ENDED(e) }
  /* The result of the running task. */
  :: d_step { phase[e] == HOME && foundAt[e] != 0 && !ended[foundAt[e] - 1] ->
       End(e, true) }
  od
}

/* R6: an entry that joins: its row first, then the notes of one open entry. */
#define KNOWN_BALLOT(from) MAX(note[from], ballot[from])
#ifdef WITHOUT_R6_ENTRY_ROW_FIRST
#define ROW_BEFORE_NOTES(e) skip
#define ROW_AFTER_NOTES(e) entryRows = entryRows | BIT(e)
#else
#define ROW_BEFORE_NOTES(e) entryRows = entryRows | BIT(e)
#define ROW_AFTER_NOTES(e) skip
#endif
#ifdef WITHOUT_R6_NOTES
#define COPY_NOTES(e, from) skip
#else
#define COPY_NOTES(e, from) note[e] = MAX(note[e], KNOWN_BALLOT(from))
#endif

proctype JoiningEntry(byte e)
{
  ROW_BEFORE_NOTES(e);
  if
  :: d_step { COPY_NOTES(e, 0) }
#if ENTRIES > 2
  :: d_step { COPY_NOTES(e, 1) }
#endif
  :: blind[e] = true
  fi;
  ROW_AFTER_NOTES(e);
  entryOpen[e] = true
}

/*
 * An answer counts for the ballot under which it was asked, and no other. So a
 * late answer of an earlier round changes nothing, and an answer is either
 * taken at once or lost. Without that rule it stays in the network.
 */
#ifdef WITHOUT_LOCATE_BALLOT
#define LEAVE_UNKNOWN(f, e) unknownAnswers = unknownAnswers | BIT(PAIR(f, e))
#else
#define LEAVE_UNKNOWN(f, e) skip
#endif
#ifdef WITHOUT_FENCE_BALLOT
#define LEAVE_EMPTY(a, e) emptyAnswers = emptyAnswers | BIT(PAIR(a, e))
#else
#define LEAVE_EMPTY(a, e) skip
#endif

#define ASKS_ENTRY(e, f) (phase[e] == LOCATING && (seenEntries[e] & BIT(f)) != 0 && ((answered[e] | missing[e]) & BIT(f)) == 0)
#define ASKS_AGENT(e, a) (phase[e] == RECOVERING && (seenAgents[e] & BIT(a)) != 0 && ((answered[e] | missing[e]) & BIT(a)) == 0)

/*
 * An entry that was fenced and may have started the task does not say
 * "unknown": the asker has to recover.
 */
#ifdef WITHOUT_STARTED_ANSWER
#define HAS_STARTED(f) false
#else
#define HAS_STARTED(f) (current[f] != 0 || adopted[f])
#endif

/* Entry e asks entry f who has the job. */
inline Ask(e, f, isAnswered)
{
  if
  :: phase[f] == HOME || phase[f] == RECOVERING -> Attach(e)
  :: phase[f] == ENDED -> Close(e, ENDED)
  :: phase[f] == LOCATING || phase[f] == ATTACHED ->
    if
    :: ballot[e] < ballot[f] -> Attach(e)
    :: else -> /* The lower ballot yields. */
      ballot[f] = ballot[e];
      note[f] = ballot[e];
      Attach(f);
      LEAVE_UNKNOWN(f, e);
      if
      :: isAnswered && HAS_STARTED(f) -> missing[e] = missing[e] | BIT(f)
      :: isAnswered && !HAS_STARTED(f) -> answered[e] = answered[e] | BIT(f)
      :: else -> skip
      fi
    fi
  :: else ->
    if
    :: ballot[e] < note[f] -> Attach(e)
    :: else ->
#ifndef WITHOUT_R2_NOTE
      note[f] = ballot[e];
#endif
      LEAVE_UNKNOWN(f, e);
      if
      :: isAnswered && HAS_STARTED(f) -> missing[e] = missing[e] | BIT(f)
      :: isAnswered && !HAS_STARTED(f) -> answered[e] = answered[e] | BIT(f)
      :: else -> skip
      fi
    fi
  fi
}

proctype Locate(byte e; byte f)
{
end:
  do
  :: d_step { ASKS_ENTRY(e, f) && phase[f] != SPENT -> Ask(e, f, true) }
#ifndef NO_LOST_ANSWERS
  :: d_step { ASKS_ENTRY(e, f) && phase[f] != SPENT -> Ask(e, f, false) }
#endif
#ifdef WITHOUT_LOCATE_BALLOT
  :: d_step { ASKS_ENTRY(e, f) && (unknownAnswers & BIT(PAIR(f, e))) != 0 ->
       answered[e] = answered[e] | BIT(f) }
#endif
  /* No answer in time. */
  :: d_step { ASKS_ENTRY(e, f) ->
#ifdef WITHOUT_R3_RECOVER
       answered[e] = answered[e] | BIT(f)
#else
       silentEntry[e] = true;
       missing[e] = missing[e] | BIT(f)
#endif
     }
  od
}

/* Entry e fences agent a. */
inline Fence(e, a, isAnswered)
{
  if
  :: ballot[e] < fence[a] -> Attach(e)
  :: else ->
    fence[a] = ballot[e];
    isFenced[a] = true;
    if
    :: record[a] == 0 -> LEAVE_EMPTY(a, e)
    :: else -> skip
    fi;
    if
    :: isAnswered ->
      answered[e] = answered[e] | BIT(a);
      if
      :: record[a] != 0 -> foundAt[e] = a + 1
      :: else -> skip
      fi
    :: else -> skip
    fi
  fi
}

/* Entry e fences agent a, and sends it starts. */
proctype Call(byte e; byte a)
{
  byte p;
end:
  do
  :: d_step { ASKS_AGENT(e, a) && !ended[a] -> Fence(e, a, true) }
#ifndef NO_LOST_ANSWERS
  :: d_step { ASKS_AGENT(e, a) && !ended[a] -> Fence(e, a, false) }
#endif
#ifdef WITHOUT_FENCE_BALLOT
  :: d_step { ASKS_AGENT(e, a) && (emptyAnswers & BIT(PAIR(a, e))) != 0 ->
       answered[e] = answered[e] | BIT(a) }
#endif
#ifdef MISSES
  :: d_step { ASKS_AGENT(e, a) -> missing[e] = missing[e] | BIT(a) }
#else
  :: d_step { ASKS_AGENT(e, a) && ended[a] -> missing[e] = missing[e] | BIT(a) }
#endif
  /* Late binding: the task goes to any open agent. */
  :: d_step { phase[e] == HOME && foundAt[e] == 0 && current[e] == 0 &&
       placed[e] < PLACEMENTS_EACH && agentOpen[a] && !ended[a] ->
       p = e * PLACEMENTS_EACH + placed[e];
       placed[e]++;
       current[e] = p + 1;
       placementAgent[p] = a;
       placementBallot[p] = ballot[e];
       sent = sent | BIT(p);
       p = 0 }
  od
}

#ifdef WITHOUT_R4_FENCE
#define IS_BELOW_FENCE(p, a) false
#else
#define IS_BELOW_FENCE(p, a) (placementBallot[p] < fence[a])
#endif
#ifdef WITHOUT_R5_RECORD
#define HAS_RECORD(a) false
#else
#define HAS_RECORD(a) (record[a] != 0)
#endif
#ifdef WITHOUT_R5_STAMP
#define IS_LATE(p) false
#else
#define IS_LATE(p) ((late & BIT(p)) != 0)
#endif

#define WAITED_FOR(p) (phase[(p) / PLACEMENTS_EACH] == HOME && foundAt[(p) / PLACEMENTS_EACH] == 0 && current[(p) / PLACEMENTS_EACH] == (p) + 1)

inline Answer(verdicts, p)
{
  if
  :: WAITED_FOR(p) -> verdicts = verdicts | BIT(p)
  :: else -> skip
  fi
}

/* A copy of placement p reaches agent a. */
inline Admit(p, a)
{
  if
  :: (refusals & BIT(p)) != 0 -> Answer(refused, p)
  :: (refusals & BIT(p)) == 0 && IS_BELOW_FENCE(p, a) -> Answer(fenced, p)
  :: (refusals & BIT(p)) == 0 && !IS_BELOW_FENCE(p, a) && HAS_RECORD(a) ->
    Answer(accepted, p)
  :: else ->
    if
    :: IS_LATE(p) -> Answer(refused, p)
    :: else -> /* R5: started. */
      record[a] = p + 1;
      fence[a] = MAX(fence[a], placementBallot[p]);
      starts++;
      ownStarted[p / PLACEMENTS_EACH] = true;
      assert(starts <= 1);
      assert(phase[p / PLACEMENTS_EACH] != REFUSED);
      Answer(accepted, p)
    fi
  fi
}

#define ARRIVES(p, a) ((sent & BIT(p)) != 0 && agentOpen[a] && !ended[a])
#define AT(p) placementAgent[p]

proctype Arrive(byte p)
{
end:
  do
  :: d_step { ARRIVES(p, AT(p)) -> Admit(p, AT(p)) }
#ifdef WITHOUT_R5_INCARNATION
  :: d_step { ARRIVES(p, LATE_A) && AT(p) == 0 -> Admit(p, LATE_A) }
#endif
#ifndef NO_REFUSALS
  /* Busy, leaving, out: a refusal. */
  :: d_step { ARRIVES(p, AT(p)) && (refusals & BIT(p)) == 0 &&
       !HAS_RECORD(AT(p)) && !IS_BELOW_FENCE(p, AT(p)) && WAITED_FOR(p) ->
#ifndef WITHOUT_R5_REFUSAL_RECORD
       refusals = refusals | BIT(p);
#endif
       refused = refused | BIT(p) }
#endif
#ifdef STAMPS
  /* The record is kept for longer than a stamp stays fresh. */
  :: d_step { (refusals & BIT(p)) != 0 ->
       late = late | BIT(p);
       refusals = refusals & ~BIT(p) }
#endif
  od
}

/* R6: an agent that joins: its row first, then the fences of one open agent. */
#ifdef WITHOUT_R6_AGENT_ROW_FIRST
#define ROW_BEFORE_FENCES(a) skip
#define ROW_AFTER_FENCES(a) agentRows = agentRows | BIT(a)
#else
#define ROW_BEFORE_FENCES(a) agentRows = agentRows | BIT(a)
#define ROW_AFTER_FENCES(a) skip
#endif
#ifdef WITHOUT_R13_ROW
#define ROWS_AFTER_END (agentRows & ~1)
#else
#define ROWS_AFTER_END agentRows
#endif

inline CopyFences(a, from)
{
#ifndef WITHOUT_R6_COPY
  if
  :: isFenced[from] ->
    fence[a] = MAX(fence[a], fence[from]);
    isFenced[a] = true
  :: else -> skip
  fi
#else
  skip
#endif
}

proctype JoiningAgent(byte a)
{
#ifdef RESTART
  /* Agent a is the next incarnation of agent 0, which has ended. */
  d_step { ended[0] = true; agentRows = ROWS_AFTER_END };
#endif
  ROW_BEFORE_FENCES(a);
  if
#ifndef RESTART
  :: d_step { !ended[0] -> CopyFences(a, 0) }
#endif
#if AGENTS > 2
  :: d_step { !ended[1] -> CopyFences(a, 1) }
#endif
  fi;
  ROW_AFTER_FENCES(a);
  agentOpen[a] = true
}

init
{
  byte i;
  byte j;
  atomic {
    entryRows = ALL_ENTRIES;
    agentRows = ALL_AGENTS;
#ifdef LATE_ENTRY
    entryRows = entryRows & ~BIT(LATE_E);
#endif
#ifdef LATE_AGENT
    agentRows = agentRows & ~BIT(LATE_A);
#endif
    for (i : 0 .. ENTRIES - 1) {
      entryOpen[i] = (entryRows & BIT(i)) != 0;
      seenEntries[i] = entryRows & ~BIT(i);
      seenAgents[i] = agentRows
    }
    for (i : 0 .. AGENTS - 1) { agentOpen[i] = (agentRows & BIT(i)) != 0 }
    for (i : 0 .. ENTRIES - 1) {
      run Entry(i);
      for (j : 0 .. ENTRIES - 1) {
        if
        :: i != j -> run Locate(i, j)
        :: else -> skip
        fi
      }
      for (j : 0 .. AGENTS - 1) { run Call(i, j) }
    }
    for (i : 0 .. PLACEMENTS - 1) {
      run Arrive(i)
    }
#ifdef LATE_ENTRY
    run JoiningEntry(LATE_E);
#endif
#ifdef LATE_AGENT
    run JoiningAgent(LATE_A);
#endif
    i = 0;
    j = 0
  }
}
