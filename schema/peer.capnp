@0xb7c1f0a59d3e8421;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("azureyoke::schema");

const protocolVersion :UInt32 = 1;

struct Stamp {
  name @0 :Text;
  version @1 :Int64;
  digest @2 :Text;
}

struct DocumentCopy {
  stamp @0 :Stamp;
  text @1 :Text;
  acceptedMs @2 :Int64;              # Milliseconds since 1970.
}

struct TokenAsk {
  number @0 :UInt64;
  workspace @1 :Text;
  need @2 :Int64;
  extra @3 :Int64;
}

struct TokenLoan {
  ask @0 :UInt64;
  transfer @1 :UInt64;
  workspace @2 :Text;
  tokens @3 :Int64;
  left @4 :Int64;
}

struct TokenReturn {
  transfer @0 :UInt64;
  number @1 :UInt64;
  workspace @2 :Text;
  tokens @3 :Int64;
}

struct DispatchNotice {
  kind @0 :Kind;
  replica @1 :Text;
  call @2 :UInt64;
  uncachedTokens @3 :Int64;
  chain @4 :List(UInt64);

  enum Kind {
    dispatched @0;
    firstToken @1;
    ended @2;
  }
}

struct GrantQuestion {
  # An owner asks its warden whether its grant stands.
  incarnation @0 :UInt64;
  number @1 :UInt64;
}

struct DrainNotice {
  # No new work for a replica that is about to change its weights.
  replica @0 :Text;
  validMs @1 :Int64;
}

struct Message {
  union {
    ask @0 :TokenAsk;
    loan @1 :TokenLoan;
    giveBack @2 :TokenReturn;
    notice @3 :DispatchNotice;
    grantQuestion @4 :GrantQuestion;
    grantStands @5 :UInt64;          # Number of the question.
    stamps @6 :List(Stamp);          # Documents that the sender has in force.
    documentWanted @7 :Text;
    document @8 :DocumentCopy;
    drain @9 :DrainNotice;
  }
}

struct Introduction {
  protocolVersion @0 :UInt32;
  fleet @1 :Text;
  instance @2 :Text;
  incarnation @3 :UInt64;
}

interface Peer {
  # The bootstrap object of every instance. A peer of another fleet or version is refused.
  introduce @0 (who :Introduction) -> (session :Session);
}

interface Session {
  # Hands messages over in order. What a message needs as an answer comes as a message of its own.
  post @0 (messages :List(Message)) -> ();
}

struct MemberRecord {
  name @0 :Text;
  dataCentre @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  status @4 :Status;

  enum Status {
    alive @0;
    suspect @1;
    dead @2;
    left @3;
  }
}

struct Probe {
  # One datagram of the membership protocol.
  fleet @0 :Text;
  sender @1 :MemberRecord;
  number @2 :UInt64;
  kind @3 :Kind;
  target @4 :Text;                   # Whom an indirect probe is for.
  records @5 :List(MemberRecord);
  protocolVersion @6 :UInt32;

  enum Kind {
    ping @0;
    ack @1;
    pingRequest @2;
  }
}
