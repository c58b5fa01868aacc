/**
 * Calls between entries and agents: framed transport, compact protocol.
 * Shapes and meaning: src/libgooseberry/core/message.h. Durations and stamps
 * are microseconds. The generated code under generated/ is committed; after a
 * change run: thrift --gen cpp:no_skeleton -out generated gooseberry.thrift
 */
namespace cpp gooseberry.wire

struct PeerRef { 1: string name; 2: i64 incarnation }
struct Ballot { 1: i32 round; 2: i64 entry }

struct Resources { 1: i32 cpu, 2: i32 memory, 3: i32 accelerators }

struct TargetLoad {
  1: string name; 2: list<string> services; 3: i32 slots; 4: i32 running;
  5: i32 queued; 6: i32 consecutiveFailures; 7: bool leaving;
  8: Resources capacity; 9: Resources used
}
struct AgentState {
  1: PeerRef agent; 2: string address; 3: string failureDomain;
  4: string rack; 5: i64 generation; 6: i64 stamp; 7: bool open;
  8: bool leaving; 9: list<TargetLoad> targets;
  10: bool readsConfiguration; 11: i64 configurationDigest;
  12: list<string> jobsInDoubt
}
struct VersionedConfiguration { 1: i64 generation; 2: string text }

struct TaskStart {
  1: string job; 2: i32 index; 3: i32 attempt; 4: Ballot ballot;
  5: i32 placement; 6: string serviceName; 7: string kind; 8: string target;
  9: binary payload; 10: i64 priority; 11: bool mayQueue;
  12: Resources needs
}
struct StartBatch {
  1: PeerRef entry; 2: string entryAddress; 3: i64 agentIncarnation;
  4: i64 agentStamp; 5: i64 generation; 6: bool backlog;
  7: list<TaskStart> starts; 8: i64 backlogPriority
}
struct StartReply { 1: AgentState state; 2: list<i8> verdicts }

struct TaskResult {
  1: string job; 2: i32 index; 3: i32 attempt; 4: i32 placement; 5: i8 ending;
  6: i8 why; 7: string target; 8: string kind; 9: i64 runTime;
  10: binary payload; 11: optional Ballot ballot
}
struct FinishBatch { 1: AgentState state; 2: list<TaskResult> results }
struct EntryReply {
  1: PeerRef entry; 2: i64 generation; 3: optional i64 evidenceAge;
  4: optional VersionedConfiguration configuration;
  5: map<string, string> entries; 6: list<string> cancelled;
  7: i64 configurationDigest; 8: i64 confirmedGeneration
}

struct CancelBatch {
  1: PeerRef entry; 2: list<string> jobs; 3: string entryAddress
}
struct FenceRequest {
  1: PeerRef entry; 2: string entryAddress; 3: string job; 4: Ballot ballot
}
struct StartedTask { 1: i8 state; 2: TaskResult result }
struct FenceReply {
  1: PeerRef agent; 2: string job; 3: Ballot ballot; 4: string holder;
  5: list<StartedTask> started
}
struct FenceNote { 1: string job; 2: Ballot ballot; 3: string holder }
struct CopyReply { 1: PeerRef peer; 2: bool open; 3: list<FenceNote> notes }

struct LocateRequest {
  1: PeerRef entry; 2: string entryAddress; 3: string job; 4: i64 contentHash;
  5: Ballot ballot
}
struct LocateReply {
  1: PeerRef entry; 2: string job; 3: i8 verdict; 4: Ballot ballot;
  5: string holder
}

struct TeamUse { 1: i32 running; 2: i32 waiting }
struct Heartbeat {
  1: PeerRef entry; 2: string address; 3: i64 generation;
  4: map<string, TeamUse> teams;
  5: optional VersionedConfiguration configuration; 6: bool leaving;
  7: map<string, i64> agents; 8: bool busy; 9: string failureDomain;
  10: i32 millicores; 11: bool readsConfiguration; 12: i64 configurationDigest
  13: optional double jobsPerSecond; 14: optional i64 evidenceAge;
  15: i64 confirmedGeneration
}
struct JobAnswer {
  1: string job; 2: i8 outcome; 3: list<binary> results; 4: string reason;
  5: string step; 6: string peer; 7: optional i64 retryAfter; 8: i32 status
}
struct DeliverRequest { 1: PeerRef entry; 2: list<JobAnswer> answers }

service AgentService {
  StartReply start(1: StartBatch batch)
  bool cancel(1: CancelBatch batch)
  list<FenceReply> fence(1: list<FenceRequest> requests)
  CopyReply copyFences(1: PeerRef joiner)
  /** Pushes a newer configuration; the reply has the generation in force. */
  i64 apply(1: VersionedConfiguration configuration)
}

service EntryService {
  EntryReply announce(1: AgentState state)
  EntryReply finish(1: FinishBatch batch)
  list<LocateReply> locate(1: list<LocateRequest> requests)
  CopyReply copyNotes(1: PeerRef joiner)
  Heartbeat heartbeat(1: Heartbeat beat)
  bool deliver(1: DeliverRequest request)
}
