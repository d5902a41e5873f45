// The messages between the processes of the system, and the values of the ledger in the store. The number of a field
// never changes. New fields can be added, because readers skip fields that they do not know.

namespace cpp mangohall.wire

// Microseconds since the Unix epoch. The largest value means the infinite future, the smallest the infinite past.
typedef i64 TimeMicros
// Microseconds. The largest value means an infinite duration, the smallest its negative.
typedef i64 DurationMicros
// The name of an error kind; empty for no error.
typedef string ErrorKindName

// A field that holds an enumerator is an i32, because a later version may send values that this version does not know.

enum Adjacency {
  ANYWHERE = 1,
  SAME_DATA_CENTRE = 2,
  SAME_RACK = 3,
  SAME_WORKER = 4,
}

enum Priority {
  BATCH = 1,
  NORMAL = 2,
  URGENT = 3,
}

enum JobPhase {
  QUEUED = 1,
  CLAIMED = 2,
  RELEASED = 3,
  ENDED = 4,
}

enum TaskState {
  NEVER_STARTED = 1,
  PREPARED = 2,
  RUNNING = 3,
  SUCCEEDED = 4,
  FAILED = 5,
  STOPPED_BEFORE_RELEASE = 6,
  STOPPED = 7,
}

enum PartEnd {
  SUCCEEDED = 1,
  FAILED = 2,
  NEVER_RAN = 3,
  STOPPED = 4,
  EVICTED = 5,
  LOST = 6,
}

enum DrainTarget {
  WORKER = 1,
  RACK = 2,
  DATA_CENTRE = 3,
}

struct JobKey {
  1: string organisation
  2: string requestKey
}

struct TaskId {
  1: JobKey job
  2: i32 attempt
  3: i32 index
}

struct Shape {
  1: i32 tasks
  2: i32 acceleratorsPerTask
  3: i32 adjacency // Adjacency
}

struct JobSpec {
  1: string serviceName
  2: Shape shape
  3: i64 cpuMillisPerTask
  4: i64 memoryBytesPerTask
  5: DurationMicros expectedRunTime
  6: DurationMicros deadline
  7: i32 priority // Priority
  8: bool isIdempotent
  9: bool isCheckpointable
  10: bool acceptsStop
  11: binary payload
}

struct HoldId {
  1: i64 epoch
  2: i64 number
}

struct TaskPlacement {
  1: i32 index
  2: string shard
  3: string worker
  4: string incarnation
  5: HoldId hold
}

struct JobRecord {
  1: JobKey key
  2: JobSpec spec
  3: i32 phase // JobPhase
  4: i32 attempt
  5: list<TaskPlacement> placement
  6: bool isCancelRequested
  7: binary checkpoint
  8: TimeMicros acceptedAt
  9: TimeMicros releasedAt
  10: TimeMicros endedAt
  11: ErrorKindName outcome
  12: string message
  13: list<binary> results
}

struct LedgerBucket {
  1: string shard
  2: i32 bucket
  3: i64 epoch
  4: list<JobRecord> jobs
}

struct Resources {
  1: i64 cpuMillis
  2: i64 memoryBytes
  3: i32 accelerators
}

struct TaskReport {
  1: TaskId task
  2: i32 state // TaskState
  3: binary result
  4: binary checkpoint
  5: Resources usage
}

struct Organisation {
  1: string name
  2: i32 weight
  3: i32 maxQueuedJobs
  4: i32 maxAccelerators
}

struct Guarantee {
  1: string name
  2: string organisation
  3: string shard
  4: i32 cells
  5: i32 acceleratorsPerCell
  6: i32 adjacency // Adjacency
}

struct Service {
  1: string name
  2: i32 slotsPerWorker
  3: i32 connectionsPerWorker
}

struct Drain {
  1: string name
  2: i32 target // DrainTarget
  3: string targetName
}

struct Policy {
  1: string name
  2: double completionWeight
  3: DurationMicros checkpointGrace
}

struct ShardSpec {
  1: string name
  2: string region
  3: string dataCentre
  4: list<string> racks
  5: i32 workersPerRack
  6: i32 acceleratorsPerWorker
}

union ConfigSpec {
  1: Organisation organisation
  2: Guarantee guarantee
  3: Service serviceSpec
  4: Drain drain
  5: Policy policy
  6: ShardSpec shard
}

struct ConfigObject {
  1: ConfigSpec spec
  2: i64 revision
  3: string changeId
}

struct SubmitJob {
  1: JobKey key
  2: JobSpec spec
  3: string request
}

struct CancelJob {
  1: JobKey key
  2: string request
}

struct QueryJob {
  1: JobKey key
  2: string request
}

struct JobStatus {
  1: JobKey key
  2: ErrorKindName refusal
  3: string message
  4: i32 phase // JobPhase
  5: ErrorKindName outcome
  6: i32 attempt
  7: TimeMicros acceptedAt
  8: TimeMicros releasedAt
  9: TimeMicros endedAt
  10: list<binary> results
  11: string request
}

struct AttemptId {
  1: JobKey job
  2: i32 attempt
}

struct ReserveCapacity {
  1: AttemptId attempt
  2: string home
  3: JobSpec spec
  4: binary checkpoint
  5: i32 firstTask
  6: TimeMicros acceptedAt
}

struct CapacityHeld {
  1: AttemptId attempt
  2: string shard
  3: list<TaskPlacement> placement
}

struct CapacityRefused {
  1: AttemptId attempt
  2: string shard
  3: ErrorKindName kind
  4: string message
  5: i32 firstTask
  6: i32 tasks
}

struct StartAttempt {
  1: AttemptId attempt
  2: string home
  3: JobSpec spec
  4: binary checkpoint
  5: list<TaskPlacement> placement
}

struct AttemptPrepared {
  1: AttemptId attempt
  2: string shard
}

struct ReleaseAttempt {
  1: AttemptId attempt
  2: string home
  3: JobSpec spec
  4: list<TaskPlacement> placement
}

struct AbortAttempt {
  1: AttemptId attempt
  2: string home
  3: list<TaskPlacement> placement
}

struct PartEnded {
  1: AttemptId attempt
  2: string shard
  3: i32 partEnd // PartEnd
  4: string message
  5: binary checkpoint
  6: list<TaskReport> tasks
}

struct EndAcknowledged {
  1: AttemptId attempt
}

struct ConfigDelta {
  1: i64 fromRevision
  2: i64 toRevision
  3: list<ConfigObject> changed
  4: list<string> deletedKeys
  5: bool isWhole
}

struct RevisionReport {
  1: i64 revision
}

struct RegionRevisions {
  1: string region
  2: i64 inForce
  3: list<string> lagging
}

struct CapacitySummary {
  1: string shard
  2: i32 freeAccelerators
  3: i32 largestFreeWorker
  4: i32 largestFreeRack
  5: i32 queuedTasks
}

union PeerPayload {
  1: SubmitJob submitJob
  2: CancelJob cancelJob
  3: QueryJob queryJob
  4: JobStatus jobStatus
  5: ReserveCapacity reserveCapacity
  6: CapacityHeld capacityHeld
  7: CapacityRefused capacityRefused
  8: StartAttempt startAttempt
  9: AttemptPrepared attemptPrepared
  10: ReleaseAttempt releaseAttempt
  11: AbortAttempt abortAttempt
  12: PartEnded partEnded
  13: EndAcknowledged endAcknowledged
  14: ConfigDelta configDelta
  15: RevisionReport revisionReport
  16: RegionRevisions regionRevisions
  17: CapacitySummary capacitySummary
}

struct PeerEnvelope {
  1: string sender
  // The shard that the message is addressed to; empty for a message to the node as a whole.
  2: string shard
  3: PeerPayload payload
}

// The service that each node offers to its peers.
service Peer {
  // Delivers messages and returns how many of them the receiver could decode.
  i32 deliver(1: list<PeerEnvelope> batch)
}
