#include <gtest/gtest.h>

#include "notequeues.h"

namespace damaskgate::fleet {

namespace {

const core::HostName Hub("10.1.0.1");
const core::HostName Near("10.1.0.2");
const core::HostName Far("10.2.0.1");

NoteRoutes routes(bool isHub)
{
    return { Hub, isHub, { Hub, Near }, { Far } };
}

Note note(std::uint32_t subject)
{
    Note made;
    made.subject = subject;
    return made;
}

} // namespace

TEST(NoteQueues_Tests, Take_OwnNotes_GoToTheHubAlone)
{
    // [GIVEN] A host with notes of its own
    NoteQueues queues;
    queues.addOwn(note(1));
    queues.addOwn(note(2));

    EXPECT_FALSE(queues.isSpreading(false));
    EXPECT_TRUE(queues.isSpreading(true));

    // [THEN] They share one message, none crosses failure domains from here
    const auto parcels = queues.take(routes(false));
    ASSERT_EQ(parcels.size(), 1U);
    EXPECT_EQ(parcels[0].hosts, std::vector { Hub });
    EXPECT_EQ(parcels[0].spread, Spread::Fleet);
    EXPECT_EQ(parcels[0].notes.size(), 2U);
    EXPECT_TRUE(queues.take(routes(false)).empty());
}

TEST(NoteQueues_Tests, Take_HubWithNotesOfItsDomain_SendsThemToNeighboursAndAcross)
{
    // [GIVEN] A hub with a note of its own and one of a neighbour
    NoteQueues queues;
    queues.addOwn(note(1));
    EXPECT_TRUE(queues.addReceived(std::vector { note(2) }, Spread::Fleet));
    EXPECT_TRUE(queues.isSpreading(false));

    // [THEN] Both go to one host of each other domain and to all of this one
    const auto parcels = queues.take(routes(true));
    ASSERT_EQ(parcels.size(), 2U);
    EXPECT_EQ(parcels[0].hosts, std::vector { Far });
    EXPECT_EQ(parcels[0].spread, Spread::Domain);
    EXPECT_EQ(parcels[0].notes.size(), 2U);
    EXPECT_EQ(parcels[1].hosts, (std::vector { Hub, Near }));
    EXPECT_EQ(parcels[1].spread, Spread::Done);
    EXPECT_EQ(parcels[1].notes.size(), 2U);
}

TEST(NoteQueues_Tests, Take_NotesOfAnotherDomain_DoNotCrossAgain)
{
    // [GIVEN] Notes that came across failure domains
    NoteQueues queues;
    queues.addReceived(std::vector { note(1) }, Spread::Domain);

    // [THEN] The hub gets them, and spreads them within its domain only
    const auto handed = queues.take(routes(false));
    ASSERT_EQ(handed.size(), 1U);
    EXPECT_EQ(handed[0].spread, Spread::Neighbours);
    queues.addReceived(handed[0].notes, handed[0].spread);
    const auto spread = queues.take(routes(true));
    ASSERT_EQ(spread.size(), 1U);
    EXPECT_EQ(spread[0].spread, Spread::Done);
}

TEST(NoteQueues_Tests, AddReceived_NotesThatHaveArrived_DoNotGoOn)
{
    NoteQueues queues;
    EXPECT_FALSE(queues.addReceived(std::vector { note(1) }, Spread::Done));
    EXPECT_TRUE(queues.take(routes(true)).empty());
}

} // namespace damaskgate::fleet
