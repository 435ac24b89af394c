#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::membership {

/** What is known of a host, ordered by precedence among updates of equal age. */
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, //!< did not answer; counts as live until the suspicion has lasted long enough
    Leaving, //!< finishes its work and stops
    Dead,
};

/** One piece of news about a host. */
struct MemberUpdate
{
    core::HostName host;
    std::uint64_t incarnation = 0; //!< of the host's process; zero: never heard of
    std::uint32_t counter = 0; //!< raised by the host itself to refute older news
    MemberState state = MemberState::Alive;

    bool operator==(const MemberUpdate &) const = default;
};

/** Asks a host whether it is alive. */
struct Probe
{
    std::uint64_t sequence = 0;
    settings::Revision revision; //!< in force at the sender
    std::vector<MemberUpdate> updates;
};

/** Answers a Probe, or passes on the answer of the target of an IndirectProbe. */
struct ProbeReply
{
    std::uint64_t sequence = 0; //!< of the probe that is answered
    settings::Revision revision; //!< in force at the sender
    std::vector<MemberUpdate> updates;
};

/** Asks a third host to probe a target that did not answer directly. */
struct IndirectProbe
{
    std::uint64_t sequence = 0;
    core::HostName target;
};

using MemberMessage = std::variant<Probe, ProbeReply, IndirectProbe>;

/** A message that the member table wants to be sent. */
struct OutgoingMessage
{
    core::HostName to;
    MemberMessage message;
};

} // namespace damaskgate::membership
