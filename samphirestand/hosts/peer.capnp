# Messages between hosts. Maps are sent as lists of entries. All times are
# durations, because the clocks of two hosts are never compared.
@0xbd0b1c6a4f27e9d5;

struct Position {
  term @0 :UInt64;
  offset @1 :UInt64;
}

struct Request {
  operation @0 :Text;
  service @1 :Text;
  targetId @2 :Text;
  account @3 :Text;
  keyId @4 :Text;
  requestId @5 :Text;
  statement @6 :Text;
  mode @7 :Text;
  repeatable @8 :Bool;
  deadlineMs @9 :UInt32;
  maxAgeMs @10 :UInt32;
  session :union {
    none @11 :Void;
    position @12 :Position;
  }
  transactionId @13 :Text;
}

struct Done {
  rows @0 :Text;  # JSON array of the rows as the target returned them
  position :union {
    none @1 :Void;
    at @2 :Position;
  }
  targetId @3 :Text;
  role @4 :Text;
  transactionId @5 :Text;
  replayed @6 :Bool;
  ageMs @7 :UInt32;
}

struct NotRun {
  code @0 :Text;
  reason @1 :Text;
  retryAfterMs @2 :Int64 = -1;
  hint @3 :Text;
}

struct Unknown {
  code @0 :Text;
  reason @1 :Text;
}

struct Outcome {
  union {
    done @0 :Done;
    notRun @1 :NotRun;
    unknown @2 :Unknown;
  }
}

struct TermStart {
  term @0 :UInt64;
  offset @1 :UInt64;
}

struct TargetState {
  server @0 :Text;
  term @1 :UInt64;
  role @2 :Text;
  starts @3 :List(TermStart);
  end @4 :UInt64;
  primaryUrl @5 :Text;
}

struct HostEntry {
  hostId @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  heartbeat @3 :UInt64;
  status @4 :Text;
  callerUrl @5 :Text;
  peerAddress @6 :Text;
  peerPort @7 :UInt16;
  configurationVersion @8 :UInt64;
  condition @9 :Text;  # alive, suspect or gone, as judged in the host's zone
  revision @10 :UInt32;  # increased by the host when its own status changes
}

struct RouteEntry {
  service @0 :Text;
  term @1 :UInt64;
  primaryTargetId @2 :Text;
}

# Ages are sent only in answers: the receiver can add the time since it sent
# its request. A request may have waited in a buffer for an unknown time.
struct Gossip {
  hosts @0 :List(HostEntry);
  routes @1 :List(RouteEntry);
  configurationVersion @2 :UInt64;
  platformEvidenceAgeMs @3 :Int64 = -1;
  heartbeat @4 :UInt64;  # the sender's own
  hostsDigest @5 :UInt64;
  routesDigest @6 :UInt64;
  viewDigest @7 :UInt64;  # of the ids and incarnations in the sender's zone
  heartbeats @8 :Data;  # low bytes in order of host id; for equal viewDigests
  versions @9 :Data;  # low bytes in order of host id; empty if all are equal
  zones @10 :Data;  # records of zone key, age (ms) and version lag
  hostBuckets @11 :Data;  # digests of buckets; empty if no records are wanted
  routeBuckets @12 :Data;
  incarnation @13 :UInt64;  # the sender's own
  keyedHeartbeats @14 :Data;  # host keys with the heartbeat as low byte
}

struct ConfigurationChange {
  version @0 :UInt64;
  document @1 :Text;  # the stored row as JSON
}

interface Peer {
  run @0 (request :Request) -> (outcome :Outcome);
  gossip @1 (state :Gossip) -> (state :Gossip);
  takeTokens @2 (account :Text, wanted :UInt32, collect :Bool)
      -> (tokens :UInt32, validMs :UInt32);
  targetStatus @3 (targetId :Text, forWrite :Position, waitMs :UInt32)
      -> (known :Bool, state :TargetState, ageMs :UInt32, suspect :Bool);
  configurationChanges @4 (after :UInt64)
      -> (changes :List(ConfigurationChange));
  explain @5 (kind :Text, id :Text) -> (found :Bool, text :Text);
  ping @6 () -> ();
}

interface Login {
  hello @0 (hostId :Text, zone :Text, incarnation :UInt64, secret :Text)
      -> (hostId :Text, incarnation :UInt64, peer :Peer);
}
