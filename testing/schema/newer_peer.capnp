@0xcf6b0d0f5c6e4a11;

# A later version of src/peers/peer.capnp, with added fields, a longer struct in a
# list and a second method.

struct GossipMessage {
  self @0 :Member;
  memberDigest @1 :UInt64;
  heartbeats @2 :List(Heartbeat);
  members @3 :List(Member);
  config @4 :ConfigState;
  quarantined @5 :List(Data);
  vmListAgeUs @6 :UInt64;
  leavingVms @7 :List(LeavingVm);
  loadHints @8 :List(UInt32);
  note @9 :Text = "later";
}

struct LeavingVm {
  address @0 :Text;
  ageUs @1 :UInt64;
}

struct Member {
  name @0 :Text;
  # Start time in microseconds since the Unix epoch.
  incarnation @1 :UInt64;
  # IP address and port for messages between entries.
  address @2 :Text;
  dataCentre @3 :Text;
  region @4 :Text;
  # The member's own clock when it last spoke, in microseconds.
  beat @5 :UInt64;
  # IP address and port for calls between entries.
  callAddress @6 :Text;
}

# A member by its short identity, for members that both sides know.
struct Heartbeat {
  identity @0 :UInt64;
  beat @1 :UInt64;
  load @2 :UInt64;
  rack @3 :Text;
}

struct ConfigState {
  digest @0 :UInt64;
  complete @1 :Bool;
  # Time since the intents were confirmed as the newest, plus one; 0 for never.
  confirmedAgeUs @2 :UInt64;
  versions @3 :List(ServiceVersion);
  wanted @4 :List(Text);
  intents @5 :List(VersionedIntent);
}

struct ServiceVersion {
  service @0 :Text;
  version @1 :UInt64;
}

struct VersionedIntent {
  version @0 :UInt64;
  # JSON, as in the platform's store.
  intent @1 :Data;
}

interface PeerGossip {
  exchange @0 (message :GossipMessage) -> (reply :GossipMessage);
  leave @1 ();
}
