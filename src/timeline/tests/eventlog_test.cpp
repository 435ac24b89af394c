#include "damaskgate/timeline/eventlog.h"

#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

#include "damaskgate/timeline/timeline.h"

using namespace damaskgate;
using namespace damaskgate::timeline;

namespace {

class EventLog_Tests : public ::testing::Test
{
protected:
    void SetUp() override
    {
        const auto *info = ::testing::UnitTest::GetInstance()->current_test_info();
        this->path = ::testing::TempDir() + "eventlog-" + info->name() + ".log";
        std::filesystem::remove(this->path);
    }

    void TearDown() override
    {
        std::filesystem::remove(this->path);
    }

    EventLogOptions options() const
    {
        return { core::HostName("ves-01"), 42, this->path, 64, 4 };
    }

    std::string path;
};

} // namespace

TEST_F(EventLog_Tests, Record_AnyValues_ReadBackTheSame)
{
    // [GIVEN] An event with a value that must be quoted
    const core::Event event { "refused", { { "detail", "a b=\"c\"\n" }, { "trace", "t1" } } };

    // [WHEN] It is recorded and the file is read
    EventLog log(this->options());
    log.record(event);
    log.flush();
    std::ifstream file(this->path);
    const TimelineSource source = readSource(file);

    // [THEN] The entry contains all values unchanged
    ASSERT_EQ(source.entries.size(), 1U);
    EXPECT_EQ(source.unreadableLines, 0U);
    const TimelineEntry &entry = source.entries.front();
    EXPECT_EQ(entry.host, "ves-01");
    EXPECT_EQ(entry.incarnation, "42");
    EXPECT_EQ(entry.name, "refused");
    EXPECT_EQ(entry.field("detail"), "a b=\"c\"\n");
    EXPECT_EQ(entry.field("trace"), "t1");
}

TEST_F(EventLog_Tests, Latest_MoreLinesThanKept_ReturnsTheNewest)
{
    // [GIVEN] A log that keeps four lines
    EventLog log(this->options());

    // [WHEN] Six events are recorded
    for (int i = 0; i < 6; ++i) {
        log.record({ "step", { { "number", i } } });
    }

    // [THEN] The newest four are returned, oldest first, or fewer if a lower limit is given
    const std::vector<std::string> lines = log.latest(100);
    ASSERT_EQ(lines.size(), 4U);
    EXPECT_TRUE(lines.front().ends_with("number=2"));
    EXPECT_TRUE(lines.back().ends_with("number=5"));
    EXPECT_EQ(log.latest(1), std::vector<std::string> { lines.back() });
}

TEST_F(EventLog_Tests, Record_QueueOverflows_CountsEachDroppedLine)
{
    // [GIVEN] A log with a short queue and many events
    constexpr std::size_t Events = 20'000;
    std::uint64_t dropped = 0;

    // [WHEN] The events are recorded without a pause
    {
        EventLog log(this->options());
        for (std::size_t i = 0; i < Events; ++i) {
            log.record({ "step", { { "number", i } } });
        }
        log.flush();
        dropped = log.droppedLines();
    }

    // [THEN] Each line is either in the file or counted as dropped
    std::ifstream file(this->path);
    EXPECT_EQ(readSource(file).entries.size() + dropped, Events);
}

TEST_F(EventLog_Tests, Observe_MessageFromAnotherProcess_EventsFollowIt)
{
    // [GIVEN] Two processes
    EventLog sender(this->options());
    EventLog receiver(this->options());

    // [WHEN] One sends its time to the other, which then issues a time itself
    const HybridTime sent = sender.stamp();
    receiver.observe(sent);
    const HybridTime after = receiver.stamp();

    // [THEN] The receiver's next time is after that of the message
    EXPECT_GT(after, sent);
}
