#include <csignal>
#include <exception>
#include <iostream>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "platformserver.h"

int main(int argc, char **argv)
{
    using damaskgate::standins::PlatformServer;
    using damaskgate::standins::PlatformServerOptions;

    constexpr int ExitUnavailable = 3;
    PlatformServerOptions options;
    CLI::App app("Stand-in for the platform: serves files as values of a key-value API");
    app.set_version_flag("--version", "damaskgate-platform " DAMASKGATE_VERSION);
    app.add_option("--address", options.address, "IP address to listen on")->capture_default_str();
    app.add_option("--port", options.port, "port to listen on; 0 selects any free port")
        ->required();
    app.add_option("--directory", options.directory, "directory whose files are the values");
    app.add_option("--rate", options.callsPerSecond,
                   "calls per second; further calls get status 429")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    try {
        boost::asio::io_context context;
        PlatformServer server(context, options);
        server.start();
        std::cout << "event=serving address=" << options.address << " port=" << server.port()
                  << std::endl;
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](const auto &, int) { context.stop(); });
        context.run();
    } catch (const std::exception &error) {
        std::cerr << "event=failed detail=\"" << error.what() << "\"\n";
        return ExitUnavailable;
    }
    return 0;
}
