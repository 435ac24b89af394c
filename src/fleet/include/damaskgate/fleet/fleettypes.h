#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::fleet {

/** A small fact that every host should learn within a fraction of a second. */
struct Note
{
    std::uint8_t kind = 0; //!< meaning of the rest; the publishing module defines it
    std::uint16_t amount = 0;
    std::uint32_t subject = 0; //!< hash of the name that it is about
    std::uint32_t account = 0; //!< hash of a second name; zero: none
    std::uint32_t origin = 0; //!< hash of the name of the host that published it

    bool operator==(const Note &) const = default;
};

/** What a host tells of itself in each message. */
struct HostState
{
    core::DomainName domain;
    bool isLeaving = false; //!< takes no new callers and ends soon
    bool isServing = false; //!< takes callers
    std::uint8_t corePercent = 0; //!< of a processor core that it may use; more work goes to more
    std::uint64_t dataRevision = 0; //!< of the published data that it holds
    std::optional<std::chrono::milliseconds> sourceAge; //!< since it last reached the source itself
};

/** A host that the sender of a message heard from itself. */
struct Vouch
{
    core::HostName name;
    std::chrono::milliseconds age { 0 }; //!< since it was heard
    bool isLeaving = false;
    bool isServing = false;
    std::uint8_t corePercent = 0; //!< see HostState

    bool operator==(const Vouch &) const = default;
};

/** How far the notes of a message still have to go. */
enum class Spread : std::uint8_t {
    Done = 0, //!< the receiver keeps them
    Neighbours = 1, //!< the receiver sends them to all hosts of its failure domain
    Domain = 2, //!< the receiver hands them to the hub of its failure domain
    Fleet = 3, //!< the receiver sends them to its failure domain and to a host of each other one
};

/** One message between hosts. */
struct Beat
{
    HostState state;
    bool isAsking = false; //!< the receiver answers with the hosts it knows
    Spread spread = Spread::Done; //!< of the notes
    std::vector<core::HostName> known; //!< some hosts that the sender heard from
    std::vector<Note> notes;
    std::vector<Vouch> vouches; //!< hosts of the sender's failure domain
};

/** A host as this one sees it. Hosts are named by their IP numbers. */
struct Member
{
    core::HostName name;
    std::uint64_t incarnation = 0;
    HostState state;
    core::Instant heardAt;
};

} // namespace damaskgate::fleet
