@0xc92d5ae1f0836b47;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damaskgate::mirror::wire");

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  # If not zero, value is a zstd frame that restores to this many bytes.
  valueBytes @3 :UInt32;
  # Revision of the item's value that the frame is relative to; zero: none.
  baseRevision @4 :UInt64;
  # Revision in which the item was created after its last removal; zero if it is not known.
  createdRevision @5 :UInt64;
}

struct Removal {
  key @0 :Text;
  revision @1 :UInt64;
}

struct Changes {
  revision @0 :UInt64;
  isWhole @1 :Bool;
  items @2 :List(Item);
  removals @3 :List(Removal);
}
