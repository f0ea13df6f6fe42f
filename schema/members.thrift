// Protocol between an owner instance and a member of a database group, spoken by the stand-in member.
// The proxy reaches it only through bilberrystack.proxy.interfaces.
namespace py bilberrystack.gen.members

struct Position {
  1: required i64 term
  2: required i64 index
}

struct Status {
  1: required string member
  2: required i64 promised_term
  3: required Position last_log
  4: required Position applied
  5: required bool primary
  // Milliseconds since this replica last heard from its primary; -1 if never.
  6: required i32 primary_contact_ms
  7: required i32 slots
  8: required bool leaving
  9: required i64 discarded_entries
  10: required i32 connection_limit
  // Last position before the first entry of the last log entry's term.
  11: required Position previous_term_end
}

struct FenceReply {
  1: required bool granted
  // The status after the call.
  2: required Status status
}

enum Refusal {
  NOT_PRIMARY = 1
  STALE_TERM = 2
  BEHIND = 3
  CANCELLED = 4
  KEY_TOO_OLD = 5
  NO_TRANSACTION = 6
  CONNECTION_LIMIT = 7
  INVALID_STATEMENT = 8
  LEAVING = 9
  CONFLICT = 10
}

struct Reply {
  // Set when the statement was executed.
  1: optional binary body
  2: optional Position position
  3: optional bool duplicate
  // Set when the member refused the statement before execution.
  4: optional Refusal refusal
  5: optional string detail
  6: required i64 promised_term
}

struct RequestKey {
  1: required string session
  2: required i64 sequence
}

struct Entry {
  1: required Position position
  2: optional RequestKey key
  3: required binary body
  4: required bool cancelled
  5: required binary result
}

struct PullReply {
  1: required bool accepted
  // False when the entry before the requested ones is not in the primary's log.
  2: required bool matched
  3: required list<Entry> entries
  4: required i64 term
}

service Member {
  // Opens the connection; control connections do not count against slots.
  Reply hello(1: string instance, 2: bool control)
  // Answers when the last log position reaches wait_for, the promised term changes, or wait_ms passed.
  Status status(1: Position wait_for, 2: i32 wait_ms)
  // Granted only if term is greater than the promised term.
  FenceReply fence(1: i64 term)
  Status promote(1: i64 term)
  Status follow(1: i64 term, 2: string primary_address)
  Reply read(1: binary body, 2: Position min_position, 3: i32 wait_ms)
  Reply write(1: i64 term, 2: RequestKey key, 3: binary body)
  Reply begin(1: i64 term)
  Reply statement(1: binary body)
  Reply commit(1: RequestKey key)
  Reply abort()
  Reply resolve(1: i64 term, 2: RequestKey key)
  // Replicas pull entries after a position from the primary of the given term.
  PullReply pull(1: i64 term, 2: Position after, 3: i32 max_entries, 4: i32 wait_ms)
}
