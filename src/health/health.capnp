@0xbfb4e430e428dc8b;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damaskgate::health::wire");

struct Message {
  union {
    report @0 :Report;
    news @1 :News;
  }
}

struct Report {
  service @0 :Text;
  sequence @1 :UInt64;
  endpoints @2 :List(Evidence);
  latencies @3 :List(Latency);
}

struct Evidence {
  endpoint @0 :Text;
  answered @1 :UInt32;
  failed @2 :UInt32;
  prompt @3 :UInt32;
  slow @4 :UInt32;
  ended @5 :UInt32;
  busyMicroseconds @6 :UInt32;
}

struct Latency {
  bucket @0 :UInt8;
  count @1 :UInt32;
}

struct News {
  service @0 :Text;
  holding @1 :UInt64;
  sequence @2 :UInt64;
  revision @3 :UInt64;
  ejected @4 :List(Text);
  slowLimitMicroseconds @5 :UInt32;
}
