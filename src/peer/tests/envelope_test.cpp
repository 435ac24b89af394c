#include "damaskgate/peer/envelope.h"

#include <functional>

#include <gtest/gtest.h>

#include "damaskgate/peer/incarnation.h"

using namespace damaskgate;
using namespace damaskgate::peer;

namespace {

Envelope makeEnvelope()
{
    return { core::HostName("ves-01"),
             core::HostName("bre-02"),
             77,
             5,
             MessageKind::Lease,
             { std::byte { 1 }, std::byte { 2 } } };
}

const core::HostName Receiver("bre-02");

} // namespace

TEST(Envelope_Tests, OpenEnvelope_OwnSecretAndName_ReturnsSealedEnvelope)
{
    // [GIVEN] A sealed envelope
    const Envelope sealed = makeEnvelope();

    // [WHEN] Its receiver opens it
    const auto opened = openEnvelope(sealEnvelope(sealed, "secret"), "secret", Receiver);

    // [THEN] All fields are equal
    ASSERT_TRUE(opened);
    EXPECT_EQ(opened->from, sealed.from);
    EXPECT_EQ(opened->incarnation, sealed.incarnation);
    EXPECT_EQ(opened->sequenceNumber, sealed.sequenceNumber);
    EXPECT_EQ(opened->kind, sealed.kind);
    EXPECT_EQ(opened->payload, sealed.payload);
}

TEST(Envelope_Tests, OpenEnvelope_DamagedOrForeign_IsRejected)
{
    struct Case
    {
        const char *name;
        std::function<core::Result<Envelope>()> open;
    };
    const auto sealed = sealEnvelope(makeEnvelope(), "secret");
    const std::vector<Case> cases {
        { "other secret",
          [&] {
              return openEnvelope(sealed, "other", Receiver);
          } },
        { "other host",
          [&] {
              return openEnvelope(sealed, "secret", core::HostName("gra-03"));
          } },
        { "truncated",
          [&] {
              return openEnvelope(std::span(sealed).first(40), "secret", Receiver);
          } },
        { "empty",
          [&] {
              return openEnvelope({}, "secret", Receiver);
          } },
        { "oversized",
          [&] {
              const std::vector<std::byte> large(MaxDatagramBytes + 8);
              return openEnvelope(large, "secret", Receiver);
          } },
    };
    for (const Case &row : cases) {
        EXPECT_FALSE(row.open()) << row.name;
    }
}

TEST(Envelope_Tests, OpenEnvelope_AnyBitFlipped_IsRejected)
{
    // [GIVEN] A sealed envelope
    const auto sealed = sealEnvelope(makeEnvelope(), "secret");

    for (std::size_t index = 0; index < sealed.size(); ++index) {
        // [WHEN] One bit of it changes in transit
        auto changed = sealed;
        changed[index] ^= std::byte { 4 };

        // [THEN] It is rejected
        EXPECT_FALSE(openEnvelope(changed, "secret", Receiver)) << index;
    }
}

TEST(Incarnation_Tests, MakeIncarnation_LaterProcess_IsHigher)
{
    const std::uint64_t first = makeIncarnation() >> 12U;
    const std::uint64_t second = makeIncarnation() >> 12U;
    EXPECT_LE(first, second);
}
