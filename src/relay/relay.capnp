@0x858730c6e1a15a17;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("damaskgate::relay::wire");

interface SettingsSource {
  # Provides the settings that are in force on a host.

  manifest @0 () -> (text :Data);
  # Returns the manifest; empty if no settings are in force yet.

  branches @1 (hashes :List(Data)) -> (texts :List(Data));
  # Returns one text per requested hash (SHA-256, 32 bytes); empty if the host does not have the
  # branch.
}
