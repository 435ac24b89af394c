@0xe9c05b7d24f81a63;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damaskgate::limits::wire");

struct Batch {
  messages @0 :List(Message);
}

struct Message {
  union {
    take @0 :TakeRequest;
    taken @1 :TakeReply;
    handover @2 :Handover;
  }
}

struct TakeRequest {
  id @0 :UInt64;
  useWithinNanoseconds @1 :UInt64;
  workspace @2 :Text;
}

struct TakeReply {
  id @0 :UInt64;
  incarnation @1 :UInt64;
  outcome @2 :UInt16;
  retryAfterMilliseconds @3 :UInt32;
  holder @4 :Text;
}

struct Handover {
  partition @0 :UInt32;
  epoch @1 :UInt32;
  workspace @2 :Text;
  tokens @3 :Float64;
}
