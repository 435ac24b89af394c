#include "damaskgate/load/report.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace damaskgate::load {

namespace {

using Json = nlohmann::json;

constexpr metrics::HistogramOptions LatencyRange { 0.00001, 100, 1600 }; // bins 1% wide
constexpr double MillisPerSecond = 1000;
constexpr unsigned FirstErrorStatus = 500;

bool isGood(const ExchangeResult &result)
{
    return result.outcome == Outcome::Answered && result.status < FirstErrorStatus
        && result.isOwnResponse;
}

Json streamJson(const RunReport::Key &key, const StreamReport &stream)
{
    const auto millis = [&stream](double fraction) {
        return stream.latency.quantile(fraction) * MillisPerSecond;
    };
    const auto good = static_cast<double>(stream.latency.count());
    return { { "phase", key.phase },
             { "workspace", key.workspace },
             { "route", key.route },
             { "requests", stream.requests },
             { "good", stream.latency.count() },
             { "good_share", stream.requests == 0 ? 0 : good / double(stream.requests) },
             { "p50_ms", millis(0.5) },
             { "p99_ms", millis(0.99) },
             { "p999_ms", millis(0.999) },
             { "endings", stream.outcomes },
             { "refusals", stream.refusals },
             { "statuses", stream.statuses },
             { "wrong_answers", stream.mismatchedResponses },
             { "unechoed_answers", stream.unidentifiedResponses },
             { "wrongful_refusals", stream.refusalsWithinRate },
             { "attempts_elsewhere", stream.fallbackAttempts } };
}

/**
 * @return for each phase the workspace with the smallest share of good responses; among equal
 * shares, the one with the largest p99
 */
Json worstWorkspaces(const Json &streams)
{
    Json worst = Json::object();
    for (const Json &stream : streams) {
        const std::string phase = stream["phase"];
        const auto rank = [](const Json &item) {
            return std::pair(-item["good_share"].get<double>(), item["p99_ms"].get<double>());
        };
        if (!worst.contains(phase) || rank(stream) > rank(worst[phase])) {
            worst[phase] = { { "workspace", stream["workspace"] },
                             { "route", stream["route"] },
                             { "good_share", stream["good_share"] },
                             { "p99_ms", stream["p99_ms"] } };
        }
    }
    return worst;
}

std::string streamName(const Json &stream)
{
    return stream["phase"].get<std::string>() + '/' + stream["workspace"].get<std::string>() + '/'
        + stream["route"].get<std::string>();
}

template <typename... Values>
std::string format(const char *pattern, Values... values)
{
    std::array<char, 256> buffer {};
    const int length = std::snprintf(buffer.data(), buffer.size(), pattern, values...);
    return { buffer.data(), std::min(static_cast<std::size_t>(length), buffer.size() - 1) };
}

std::string streamLine(const Json &stream)
{
    return format("%-40s %9.0f %7.4f %9.3f %9.3f %9.3f %8.0f %6.0f\n", streamName(stream).c_str(),
                  stream["requests"].get<double>(), stream["good_share"].get<double>(),
                  stream["p50_ms"].get<double>(), stream["p99_ms"].get<double>(),
                  stream["p999_ms"].get<double>(), stream["wrongful_refusals"].get<double>(),
                  stream["wrong_answers"].get<double>());
}

} // namespace

StreamReport::StreamReport() : latency(LatencyRange) {}

void RunReport::add(const Key &key, const ExchangeResult &result, core::Duration latency,
                    bool isWithinRate, unsigned attempts)
{
    std::unique_ptr<StreamReport> &stream = this->streams[key];
    if (!stream) {
        stream = std::make_unique<StreamReport>();
    }
    ++stream->requests;
    ++stream->outcomes[std::string(toText(result.outcome))];
    stream->fallbackAttempts += attempts > 1 ? attempts - 1 : 0;
    if (result.outcome == Outcome::Refused) {
        ++stream->refusals[result.reason + '/' + result.verdict];
        stream->refusalsWithinRate += isWithinRate ? 1 : 0;
    }
    if (result.outcome == Outcome::Answered) {
        ++stream->statuses[std::to_string(result.status)];
        stream->mismatchedResponses += result.isOwnResponse ? 0 : 1;
        stream->unidentifiedResponses += result.hasRequestId ? 0 : 1;
    }
    if (isGood(result)) {
        stream->latency.record(std::chrono::duration<double>(latency).count());
    }
}

void RunReport::addAction(const std::string &target, const ExchangeResult &result)
{
    this->actions.push_back(target + ' ' + std::string(toText(result.outcome)) + ' '
                            + std::to_string(result.status));
}

nlohmann::json RunReport::toJson() const
{
    Json list = Json::array();
    for (const auto &[key, stream] : this->streams) {
        list.push_back(streamJson(key, *stream));
    }
    const Json worst = worstWorkspaces(list);
    return { { "streams", list }, { "worst_workspace", worst }, { "actions", this->actions } };
}

std::string formatReport(const nlohmann::json &report)
{
    std::string text =
        format("%-40s %9s %7s %9s %9s %9s %8s %6s\n", "phase/workspace/route", "requests", "good",
               "p50 ms", "p99 ms", "p99.9 ms", "wrongful", "wrong");
    for (const Json &stream : report["streams"]) {
        text += streamLine(stream);
        text += "    endings " + stream["endings"].dump() + " refusals " + stream["refusals"].dump()
            + " statuses " + stream["statuses"].dump() + '\n';
    }
    for (const Json &action : report["actions"]) {
        text += "action " + action.get<std::string>() + '\n';
    }
    for (const auto &[phase, worst] : report["worst_workspace"].items()) {
        text += "worst in " + phase + ": " + worst.dump() + '\n';
    }
    return text;
}

std::string formatComparison(const nlohmann::json &first, const nlohmann::json &second)
{
    std::string text = format("%-40s %10s %10s %10s %10s\n", "second minus first", "p50 ms",
                              "p99 ms", "p99.9 ms", "good");
    for (const Json &stream : second["streams"]) {
        const std::string name = streamName(stream);
        const auto same = std::ranges::find(first["streams"], name, streamName);
        if (same == first["streams"].end()) {
            text += name + ": only in the second report\n";
            continue;
        }
        const auto difference = [&stream, &same](const char *field) {
            return stream[field].get<double>() - (*same)[field].get<double>();
        };
        text += format("%-40s %10.3f %10.3f %10.3f %10.4f\n", name.c_str(), difference("p50_ms"),
                       difference("p99_ms"), difference("p999_ms"), difference("good_share"));
    }
    return text;
}

} // namespace damaskgate::load
