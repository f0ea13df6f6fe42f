// Protocol between operators' commands and an instance. No call writes a state that the system owns.
namespace py bilberrystack.gen.operators

enum EditKind {
  ADD_GROUP = 1
  REPLACE_GROUP = 2
  REMOVE_GROUP = 3
  ADD_CALLER = 4
  REPLACE_CALLER = 5
  REMOVE_CALLER = 6
  GRANT = 7
  REVOKE = 8
  SET_TARGETS = 9
}

struct Edit {
  1: required EditKind kind
  // Empty for the targets.
  2: required string name
  // The new declaration as JSON, for adding and replacing.
  3: optional string declaration
  // The groups to grant or revoke.
  4: optional list<string> groups
}

struct Change {
  1: required string operation_id
  // The whole new set of declarations as a JSON document; otherwise the edits apply.
  2: optional string document
  3: required list<Edit> edits
  // Absent to base the change on the version in force.
  4: optional i64 expected_version
  5: required bool dry_run
}

struct Problem {
  1: required string field
  2: required string value
  3: required string rule
}

struct Difference {
  1: required string field
  // JSON; absent if there was no value.
  2: optional string before
  // JSON; absent if there is no value.
  3: optional string after
}

struct Accepted {
  // The version that the change produced; for a dry run the one that it would produce.
  1: required i64 version
  // What a dry run would change.
  2: required list<Difference> differences
}

struct Rejected {
  1: required list<Problem> problems
}

struct Conflict {
  1: required i64 mine
  2: required i64 current
}

struct Undetermined {
  1: required string detail
}

union ChangeOutcome {
  1: Accepted accepted
  2: Rejected rejected
  3: Conflict conflict
  4: Undetermined undetermined
}

struct Document {
  1: required i64 version
  2: required string json
}

struct InForce {
  // The live instances that have the version, out of all.
  1: required i32 have
  2: required i32 all
  3: required list<string> lagging
}

struct Challenge {
  1: required string instance
  2: required binary nonce
}

exception OperatorFailure {
  1: required i32 code
  2: required string detail
}

// hello and authenticate come first on every connection; before them every other call fails.
service Operator {
  Challenge hello()
  // The proof is an HMAC-SHA-256 with the operators' secret over the nonce and the operator's name.
  void authenticate(1: string operator_name, 2: binary proof) throws (1: OperatorFailure failure)
  ChangeOutcome apply(1: Change change) throws (1: OperatorFailure failure)
  Document show() throws (1: OperatorFailure failure)
  // What a JSON document would change.
  list<Difference> diff(1: string document) throws (1: OperatorFailure failure)
  // Returns when a version is in force at every live instance, or after the timeout.
  InForce wait(1: i64 version, 2: i32 timeout_ms) throws (1: OperatorFailure failure)
  // The status of all groups and instances as JSON.
  binary status() throws (1: OperatorFailure failure)
  // The service-level burn over a short and a long window in minutes, as JSON.
  binary report(1: i32 short_minutes, 2: i32 long_minutes) throws (1: OperatorFailure failure)
}
