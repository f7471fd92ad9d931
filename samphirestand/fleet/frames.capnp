# Frames, the messages between hosts. Times are sent as durations, because the
# clocks of two hosts are never compared.
@0xd3a1f04be2c97716;

struct Position {
  term @0 :UInt64;
  offset @1 :UInt64;
  isKnown @2 :Bool;
}

struct Pair {
  name @0 :Text;
  value @1 :Text;
}

struct Hello {
  hostId @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
  incarnation @4 :UInt64;
  millicores @5 :UInt32;
  linkKbps @6 :UInt32;
}

struct Work {
  call @0 :UInt64;
  requestId @1 :Text;
  text @2 :Text;
  stage @3 :Text;
  service @4 :Text;
  account @5 :Text;
  consistency @6 :Text;
  maxAgeMs @7 :UInt32;
  writes @8 :Bool;
  budgetMs @9 :UInt32;
  objectiveMs @10 :UInt32;
  priority @11 :UInt32;
  transaction @12 :UInt64;
  beginId @13 :Text;
  beginText @14 :Text;
  readOnly @15 :Bool;
  commits @16 :Bool;
  wroteBefore @17 :Bool;
  values @18 :List(Pair);
  mode @19 :Text;
  shape @20 :Text;
  arguments @21 :Text;
  sessionPosition @22 :Position;
}

struct Outcome {
  call @0 :UInt64;
  position @1 :Position;
  targetId @2 :Text;
  union {
    answered :group {
      rows @3 :List(Text);
      signature @4 :Text;
    }
    failed :group {
      code @5 :Text;
      text @6 :Text;
    }
    refused :group {
      code @7 :Text;
      reason @8 :Text;
      retryAfterMs @9 :UInt32;
    }
    lost :group {
      reason @10 :Text;
      timedOut @11 :Bool;
    }
  }
}

struct Ping {
  sequence @0 :UInt64;
  isDraining @1 :Bool;
  catalogVersion @2 :UInt64;
  deposits @3 :List(Tokens);
}

struct Pong {
  sequence @0 :UInt64;
  isDraining @1 :Bool;
  catalogVersion @2 :UInt64;
  reachesStore @3 :Bool;
  fleetDigest @4 :UInt32;  # of the job hosts; 0 if the sender tells none
  observations @5 :List(Observation);
  isCatalogConfirmed @6 :Bool;
  catalogAgeMs @7 :UInt32;  # no newer version was published before that
  evacuationVersion @8 :UInt64;  # of the store; 0 if nothing is known
  evacuationDigest @9 :UInt32;  # of the evacuated zones; 0 without any
  readsDeflated @10 :Bool;  # the sender reads compressed snapshots
  answersDirectory @11 :Bool;  # the sender knows the frame directoryRequest
  returnDigest @12 :UInt32;  # of the zones that returned lately; 0 without any
  answersExplain @13 :Bool;  # the sender knows the frame explainRequest
}

struct Observation {
  service @0 :Text;
  position @1 :Position;
  ageMs @2 :UInt32;
  # The primary of this term was the only one until this long ago, and no order
  # could make another target the primary; term 0 if that isn't known.
  soleTerm @3 :UInt64;
  soleAgeMs @4 :UInt32;
  limits @5 :List(TargetLimit);  # of targets that get less than their slots
}

struct TargetLimit {
  targetId @0 :Text;
  startedMs @1 :UInt64;
  limit @2 :UInt16;
}

struct Tokens {
  account @0 :Text;
  amount @1 :UInt32;  # thousandths of a token
}

struct TokenAnswer {
  call @0 :UInt64;
  amount @1 :UInt32;  # thousandths of a token
}

struct TokenRequest {
  call @0 :UInt64;
  account @1 :Text;
  amount @2 :UInt32;  # thousandths of a token
  least @3 :UInt32;  # no tokens are granted if fewer thousandths are left
}

struct Snapshot {
  call @0 :UInt64;
  catalogVersion @1 :UInt64;
  catalog @2 :Data;  # the bytes of the configuration's row in the store
  evacuationVersion @3 :UInt64;  # of the store; 0 if nothing is known
  evacuatedZones @4 :List(EvacuatedZone);
  isDeflated @5 :Bool;  # sent only to hosts that read it
  returnedZones @6 :List(EvacuatedZone);  # of which an evacuation was revoked
}

struct EvacuatedZone {
  name @0 :Text;
  ageMs @1 :UInt32;  # of the evacuation or of its revocation
}

struct Claim {
  service @0 :Text;
  zone @1 :Text;  # the zone of the service's primary
}

struct Departure {
  targetId @0 :Text;
  startedMs @1 :UInt64;
  # At which moment of the registry the target was absent. Releases that don't
  # tell it leave both 0, which no host accepts.
  era @2 :UInt64;
  version @3 :UInt64;
}

struct Successor {
  service @0 :Text;
  hostId @1 :Text;
}

struct Claims {
  claims @0 :List(Claim);
  settledDepartures @1 :List(Departure);
  takesWithdrawals @2 :Bool;  # releases that don't would reject the frame
  placesByDemand @3 :Bool;
  # Statements per second of each claim, in their order; 0 if unknown. Without
  # any the list is empty.
  demands @4 :List(UInt32);
  successors @5 :List(Successor);  # of gateways that the sender hands over
}

struct Directory {
  call @0 :UInt64;
  value @1 :Data;  # as in the store; empty if the sender knows too little
}

struct Explanation {
  call @0 :UInt64;
  document @1 :Data;  # JSON, since it is only shown to operators
}

struct Call {
  call @0 :UInt64;
  omitsCatalog @1 :Bool;  # of a snapshotRequest
  readsDeflated @2 :Bool;  # the answer may be a compressed snapshot
}

struct Frame {
  union {
    hello @0 :Hello;
    ping @1 :Ping;
    pong @2 :Pong;
    work @3 :Work;
    outcome @4 :Outcome;
    tokenRequest @5 :TokenRequest;
    tokenAnswer @6 :TokenAnswer;
    snapshotRequest @7 :Call;
    snapshot @8 :Snapshot;
    abandon @9 :Call;  # asks to roll back the transaction of this number
    claims @10 :Claims;
    directoryRequest @11 :Call;
    directory @12 :Directory;
    withdraw @13 :Call;  # the caller of the work of this call has left
    explainRequest @14 :Work;  # asks what would happen to such work
    explanation @15 :Explanation;
  }
}
