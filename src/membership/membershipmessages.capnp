@0xd8c1a7e2b4f39065;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damaskgate::membership::wire");

struct Revision {
  number @0 :UInt64;
  hash @1 :Text;
}

struct Update {
  host @0 :Text;
  incarnation @1 :UInt64;
  counter @2 :UInt32;
  state @3 :UInt8;
}

struct MemberMessage {
  sequence @0 :UInt64;
  revision @1 :Revision;
  updates @2 :List(Update);
  union {
    probe @3 :Void;
    reply @4 :Void;
    indirectTarget @5 :Text;
  }
}
