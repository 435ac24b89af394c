@0x858730c6e1a15a17;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damaskgate::relay::wire");

interface SettingsSource {
  # Hands out the settings that are in force in a host.

  manifest @0 () -> (text :Data);
  # The manifest; empty before any settings are in force.

  branches @1 (hashes :List(Data)) -> (texts :List(Data));
  # One text for each hash (SHA-256, 32 bytes); empty where it is not held.
}
