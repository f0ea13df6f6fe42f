// Protocol between callers and an entry instance.
namespace py bilberrystack.gen.callers

enum Kind {
  READ = 1
  WRITE = 2
  IDEMPOTENT_WRITE = 3
  BEGIN = 4
  STATEMENT = 5
  COMMIT = 6
  ABORT = 7
  RESOLVE = 8
}

struct Request {
  // Sequence number inside the session; with the session id it is the idempotency key.
  1: required i64 sequence
  2: required list<binary> tokens
  3: required string group
  4: required Kind kind
  5: required binary body
  // Oldest data accepted by a read, in milliseconds; absent for the declared default of the group.
  6: optional i32 max_age_ms
  7: required i32 timeout_ms
  8: optional string transaction
}

struct Answer {
  1: required binary body
  2: required binary token
  3: required string served_by
  4: required bool from_replica
  5: optional string transaction
  6: required bool duplicate
}

struct NotRun {
  1: required i32 reason
  2: required string detail
  3: required i32 retry_after_ms
}

struct Unknown {
  1: required i32 reason
  2: required string detail
}

union Outcome {
  1: Answer answer
  2: NotRun not_run
  3: Unknown unknown
}

struct Session {
  1: required string id
  2: required binary token
  3: required string instance
}

exception CallerFailure {
  1: required i32 code
  2: required string detail
}

service Caller {
  Session open_session(1: string caller, 2: string secret) throws (1: CallerFailure failure)
  Session resume_session(1: string caller, 2: string secret, 3: string session) throws (1: CallerFailure failure)
  Outcome execute(1: Request request) throws (1: CallerFailure failure)
}
