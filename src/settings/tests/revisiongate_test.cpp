#include "damaskgate/settings/revisiongate.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace damaskgate::settings;

using Decision = RevisionGate::Decision;

namespace {

struct GateCase
{
    std::string name;
    Revision inForce;
    Revision offered;
    Decision expected;
};

std::ostream &operator<<(std::ostream &stream, const GateCase &given)
{
    return stream << given.name;
}

const Revision Five { 5, "bb" };

const std::vector<GateCase> GateCases {
    { "HigherNumber", Five, { 6, "aa" }, Decision::Newer },
    { "LowerNumber", Five, { 4, "cc" }, Decision::Older },
    { "SameRevision", Five, Five, Decision::InForce },
    { "SameNumberHigherHash", Five, { 5, "cc" }, Decision::Newer },
    { "SameNumberLowerHash", Five, { 5, "aa" }, Decision::Older },
};

using RevisionGate_Table = testing::TestWithParam<GateCase>;

} // namespace

TEST_P(RevisionGate_Table, Decide_OfferedRevision_FollowsTheOrder)
{
    RevisionGate gate;
    gate.accept(GetParam().inForce);
    EXPECT_EQ(gate.decide(GetParam().offered), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Offers, RevisionGate_Table, testing::ValuesIn(GateCases),
                         [](const auto &info) { return info.param.name; });

TEST(RevisionGate_Tests, Decide_RefusedRevision_IsNotCheckedAgain)
{
    // [GIVEN] A revision that failed validation
    RevisionGate gate;
    gate.accept(Five);
    gate.refuse({ 6, "ff" });

    // [THEN] The revision is refused; another one with the same number is still newer
    EXPECT_EQ(gate.decide({ 6, "ff" }), Decision::Refused);
    EXPECT_EQ(gate.decide({ 6, "aa" }), Decision::Newer);
    EXPECT_EQ(gate.inForce(), Five);
}

RC_GTEST_PROP(RevisionGate_Properties, Accept_AnyOffers_NeverRevertsAndEndsAtTheHighest, ())
{
    const auto offers = *rc::gen::container<std::vector<std::pair<std::uint64_t, std::string>>>(
        rc::gen::pair(rc::gen::inRange<std::uint64_t>(1, 6),
                      rc::gen::element<std::string>("aa", "bb", "cc")));
    RevisionGate gate;
    std::optional<Revision> highest;
    for (const auto &[number, hash] : offers) {
        const Revision offered { number, hash };
        const auto before = gate.inForce();
        if (gate.decide(offered) == Decision::Newer) {
            RC_ASSERT(gate.accept(offered));
        } else {
            RC_ASSERT(!gate.accept(offered));
        }
        highest = std::max(highest, std::optional(offered));
        RC_ASSERT((gate.inForce() >= before));
        RC_ASSERT((gate.inForce() == highest));
    }
}
