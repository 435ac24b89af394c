#include "damaskgate/core/event.h"

#include <gtest/gtest.h>

using namespace damaskgate::core;

TEST(Event_Tests, ToLine_PlainValues_AreNotQuoted)
{
    // [GIVEN] An event with fields of each kind
    const Event event {
        "lease-granted", { { "host", "ves-01" }, { "epoch", 7 }, { "ratio", 0.5 }, { "ok", true } }
    };

    // [WHEN] It is written as a line
    const std::string line = toLine(event);

    // [THEN] It is one line of key=value pairs
    EXPECT_EQ(line, "event=lease-granted host=ves-01 epoch=7 ratio=0.5 ok=true");
}

TEST(Event_Tests, ToLine_LineBreakInValue_IsEscaped)
{
    // [GIVEN] A value with a line break and with text that looks like another field
    const Event event { "refused", { { "detail", "a\nb=\"c\"" } } };

    // [WHEN] It is written as a line
    const std::string line = toLine(event);

    // [THEN] The line break and the quotes are escaped, so the value stays one field
    EXPECT_EQ(line, "event=refused detail=\"a\\x0ab=\\\"c\\\"\"");
}

// Guards against memory that fills with lines of values from outside.
TEST(Event_Tests, ToLine_LongValue_IsCutOff)
{
    // [GIVEN] A value with 1 MB of control characters, each of which is escaped as four
    const Event event { "refused", { { "detail", std::string(1048576, '\x01') } } };

    // [THEN] The line is limited
    EXPECT_LT(toLine(event).size(), 5 * EventField::MaxValueBytes);
    EXPECT_GE(toLine(event).size(), EventField::MaxValueBytes);
}
