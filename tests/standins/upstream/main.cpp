#include <csignal>
#include <iostream>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "upstreamendpoint.h"

namespace {

using namespace damaskgate;

struct ProgramOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::uint16_t count = 1;
    std::uint32_t serviceMs = 5;
    std::uint32_t coldMs = 0;
    standins::UpstreamOptions endpoint;
};

void addOptions(CLI::App &app, ProgramOptions &options)
{
    app.add_option("--address", options.address, "IP address to listen on");
    app.add_option("--port", options.port, "first port")->required();
    app.add_option("--count", options.count, "endpoints, on consecutive ports")
        ->check(CLI::PositiveNumber);
    app.add_option("--slots", options.endpoint.slots, "requests processed at the same time")
        ->check(CLI::PositiveNumber);
    app.add_option("--service-ms", options.serviceMs, "time to process one request, in ms");
    app.add_option("--cold-ms", options.coldMs,
                   "time from the start until all slots are usable, in ms");
    app.add_option("--connections", options.endpoint.maxConnections, "most open connections");
    app.add_option("--queue", options.endpoint.queueLimit,
                   "most waiting requests; further ones are shed");
    app.add_option("--key-marker", options.endpoint.keyMarker,
                   "prefix of every workspace key in use");
}

void run(const ProgramOptions &options)
{
    boost::asio::io_context ioContext(1);
    std::vector<std::shared_ptr<standins::UpstreamEndpoint>> endpoints;
    for (std::uint16_t i = 0; i < options.count; ++i) {
        endpoints.push_back(
            std::make_shared<standins::UpstreamEndpoint>(ioContext, options.endpoint));
        endpoints.back()->restartCold(std::chrono::milliseconds(options.coldMs));
        endpoints.back()->listen(options.address, static_cast<std::uint16_t>(options.port + i));
    }
    boost::asio::signal_set signals(ioContext, SIGINT, SIGTERM);
    signals.async_wait([&ioContext](const auto &, int) { ioContext.stop(); });
    std::cout << "event=upstream-started address=" << options.address << " port=" << options.port
              << " count=" << options.count << '\n'
              << std::flush;
    ioContext.run();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for upstream endpoints with faults that are set at run time");
    ProgramOptions options;
    addOptions(app, options);
    CLI11_PARSE(app, argc, argv);
    options.endpoint.service = std::chrono::milliseconds(options.serviceMs);
    try {
        run(options);
    } catch (const std::exception &error) {
        std::cerr << "event=upstream-failed error=\"" << error.what() << "\"\n";
        return 1;
    }
    return 0;
}
