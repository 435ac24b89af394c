#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "damaskgate/requestlog/requestrecorder.h"

namespace damaskgate::requestlog {

namespace {

class RecordingSink final : public core::IEventSink
{
public:
    void record(const core::Event &event) override
    {
        this->lines.push_back(core::toLine(event));
    }

    std::vector<std::string> lines;
};

} // namespace

// Guards against a refusal reason that is missing from the request log: an operator could not find
// out afterwards why the request was refused.
TEST(RequestRecorder_Tests, OnRequestFinished_EveryReasonAndVerdict_WritesALine)
{
    for (int reason = 0; reason <= static_cast<int>(core::Reason::Internal); ++reason) {
        for (const core::Verdict verdict :
             { core::Verdict::NotRun, core::Verdict::MayHaveRun, core::Verdict::Ran }) {
            // [GIVEN] A request that was refused
            metrics::Registry registry;
            RecordingSink sink;
            RequestRecorder recorder(registry, sink);
            entry::RequestRecord record;
            record.traceId = "trace-1";
            record.reason = static_cast<core::Reason>(reason);
            record.verdict = verdict;

            // [WHEN] The request is finished
            recorder.onRequestFinished(record);

            // [THEN] One log line has its trace, reason and verdict
            ASSERT_EQ(sink.lines.size(), 1U);
            EXPECT_NE(sink.lines.front().find("trace=trace-1"), std::string::npos);
            EXPECT_NE(sink.lines.front().find(core::toText(*record.reason)), std::string::npos);
            EXPECT_NE(sink.lines.front().find(core::toText(verdict)), std::string::npos);
        }
    }
}

// Guards against requests refused after this host had ended an attempt that metrics do not tell
// from those that an endpoint failed.
TEST(RequestRecorder_Tests, OnRequestFinished_AttemptWasAbandoned_IsCounted)
{
    // [GIVEN] A request whose first attempt this host has ended
    metrics::Registry registry;
    RecordingSink sink;
    RequestRecorder recorder(registry, sink);
    entry::RequestRecord record;
    record.abandonedAttempts = 1;

    // [WHEN] One such request is answered by another endpoint and one is refused
    recorder.onRequestFinished(record);
    record.reason = core::Reason::UpstreamFailed;
    recorder.onRequestFinished(record);

    // [THEN] Both attempts are counted, and the request that was refused
    const std::string text = registry.exposition();
    EXPECT_NE(text.find("damaskgate_attempts_abandoned_total 2"), std::string::npos);
    EXPECT_NE(text.find("damaskgate_requests_abandoned_total 1"), std::string::npos);
}

} // namespace damaskgate::requestlog
