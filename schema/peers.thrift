// Protocol between instances of the proxy.
namespace py bilberrystack.gen.peers

struct Position {
  1: required i64 term
  2: required i64 index
}

struct Forward {
  1: required string session
  2: required i64 sequence
  3: required string caller
  4: required string group
  5: required i32 kind
  6: required binary body
  // Absent when the session's watermark of the group is not known.
  7: optional Position watermark
  8: required i32 max_age_ms
  9: required i32 timeout_ms
  10: optional string transaction
}

struct Answer {
  1: required binary body
  2: required Position position
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

struct Digest {
  1: required string instance
  2: required string failure_domain
  3: required string address
  4: required bool leaving
  5: required i64 configuration_version
  // Milliseconds since the sender last heard from the store; -1 if never.
  6: required i32 store_contact_ms
}

struct Part {
  1: required string key
  2: required binary value
}

struct Configuration {
  1: required i64 version
  2: required binary head
  3: required list<Part> parts
}

// Answer to hello: the accepting side's nonce and its proof that it knows the fleet's secret.
struct Challenge {
  1: required binary nonce
  2: required binary proof
}

exception PeerFailure {
  1: required i32 code
  2: required string detail
}

// hello and prove come first on every connection; before them every other call fails.
service Peer {
  Challenge hello(1: string instance, 2: binary nonce) throws (1: PeerFailure failure)
  void prove(1: binary proof) throws (1: PeerFailure failure)
  Outcome forward(1: Forward request) throws (1: PeerFailure failure)
  Digest digest(1: Digest sender) throws (1: PeerFailure failure)
  Digest leaving(1: Digest sender) throws (1: PeerFailure failure)
  void push_head(1: Digest sender, 2: binary head) throws (1: PeerFailure failure)
  // Parts whose keys are in known_parts are left out of the answer.
  Configuration fetch_configuration(1: list<string> known_parts) throws (1: PeerFailure failure)
  // The peer's msgpack report to operators with its latest minutes of service levels.
  binary report(1: i32 minutes) throws (1: PeerFailure failure)
}
