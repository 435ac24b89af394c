@0xb1c84f2d9e7a6035;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damaskgate::fleet::wire");

struct Note {
  kind @0 :UInt8;
  amount @1 :UInt16;
  subject @2 :UInt32;
  account @3 :UInt32;
  origin @4 :UInt32;
  isUrgent @5 :Bool;
}

struct Vouch {
  address @0 :UInt32;
  ageMilliseconds @1 :UInt16;
  isLeaving @2 :Bool;
  isServing @3 :Bool;
  corePercent @4 :UInt8;
}

struct Beat {
  domain @0 :Text;
  isLeaving @1 :Bool;
  isServing @2 :Bool;
  isAsking @3 :Bool;
  spread @4 :UInt8;
  dataRevision @5 :UInt64;
  sourceAgeMilliseconds @6 :UInt16;
  known @7 :List(Text);
  notes @8 :List(Note);
  vouches @9 :List(Vouch);
  corePercent @10 :UInt8;
}
