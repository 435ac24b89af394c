@0xd7a1c3f08b5e4a21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damaskgate::peer::wire");

struct Envelope {
  version @0 :UInt16;
  kind @1 :UInt16;
  incarnation @2 :UInt64;
  sent @3 :UInt64;
  from @4 :Text;
  to @5 :Text;
  payload @6 :Data;
}
