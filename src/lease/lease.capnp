@0xb2f4e6a9c1d03857;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damaskgate::lease::wire");

struct Batch {
  rosterHash @0 :UInt64;
  rosterRevision @1 :UInt64;
  requests @2 :List(Request);
  replies @3 :List(Reply);
  releases @4 :List(Release);
  asks @5 :List(Ask);
  offers @6 :List(Offer);
}

struct Request {
  partition @0 :UInt32;
  epoch @1 :UInt32;
  sequence @2 :UInt64;
}

struct Reply {
  partition @0 :UInt32;
  outcome @1 :UInt16;
  epoch @2 :UInt32;
  sequence @3 :UInt64;
  incarnation @4 :UInt64;
  holderIncarnation @5 :UInt64;
  holderHost @6 :Text;
}

struct Release {
  partition @0 :UInt32;
  sequence @1 :UInt64;
}

struct Ask {
  partition @0 :UInt32;
}

struct Offer {
  partition @0 :UInt32;
}
