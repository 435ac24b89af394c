@0xc5c895626202e574;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damaskgate::balance::wire");

struct Message {
  union {
    request @0 :Request;
    answer @1 :Answer;
  }
}

struct Request {
  service @0 :Text;
  sequence @1 :UInt64;
  endpoints @2 :List(Use);
}

struct Use {
  endpoint @0 :Text;
  temperature @1 :UInt8;
  servedForMilliseconds @2 :UInt32;
  incarnation @3 :UInt64;
  appliedHolding @4 :UInt64;
  appliedSequence @5 :UInt64;
  quota @6 :UInt16;
  inFlight @7 :UInt16;
  wanted @8 :UInt16;
}

struct Answer {
  service @0 :Text;
  holding @1 :UInt64;
  sequence @2 :UInt64;
  endpoints @3 :List(Quota);
}

struct Quota {
  endpoint @0 :Text;
  temperature @1 :UInt8;
  servedForMilliseconds @2 :UInt32;
  quota @3 :UInt16;
}
