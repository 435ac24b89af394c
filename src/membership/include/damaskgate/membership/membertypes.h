#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::membership {

/**
 * State of a host. Among updates with equal incarnation and counter, the one with the higher state
 * takes precedence.
 */
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, //!< failed a probe; counts as live until MemberOptions::suspicionTimeout has passed
    Leaving, //!< completes its work and stops
    Dead,
};

/** A report of the state of a host. */
struct MemberUpdate
{
    core::HostName host;
    std::uint64_t incarnation = 0; //!< of the host's process; 0 before its first message
    std::uint32_t counter = 0; //!< increased by the host itself to refute older updates
    MemberState state = MemberState::Alive;

    bool operator==(const MemberUpdate &) const = default;
};

/** Requests a reply that shows that the receiver is alive. */
struct Probe
{
    std::uint64_t sequence = 0;
    settings::Revision revision; //!< settings revision in force at the sender
    std::vector<MemberUpdate> updates;
};

/** Reply to a Probe or, through the indirect prober, to an IndirectProbe. */
struct ProbeReply
{
    std::uint64_t sequence = 0; //!< sequence of the Probe or IndirectProbe
    settings::Revision revision; //!< settings revision in force at the sender
    std::vector<MemberUpdate> updates;
};

/** Requests the receiver, an indirect prober, to probe a target that has not replied directly. */
struct IndirectProbe
{
    std::uint64_t sequence = 0;
    core::HostName target;
};

using MemberMessage = std::variant<Probe, ProbeReply, IndirectProbe>;

/** A message of the member table to be sent to another host. */
struct OutgoingMessage
{
    core::HostName to;
    MemberMessage message;
};

} // namespace damaskgate::membership
