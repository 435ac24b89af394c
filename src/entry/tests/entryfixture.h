#pragma once

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "damaskgate/core/event.h"
#include "damaskgate/entry/entryserver.h"

#include "fakes.h"
#include "rawpeer.h"

namespace damaskgate::entry {

inline constexpr char Key[] = "dgk-key-1";

/** An EntryServer on its own thread and two endpoints whose connections the test drives. */
class EntryFixture : public testing::Test
{
protected:
    EntryFixture();
    ~EntryFixture() override;

    /** Starts the server with the current options. */
    void start();

    /** Runs @p action on the data thread and waits for it. */
    template <typename Action>
    auto call(Action action)
    {
        std::packaged_task<decltype(action())()> task(std::move(action));
        auto result = task.get_future();
        boost::asio::post(this->ioContext, [&task] { task(); });
        return result.get();
    }

    /** Polls @p condition on the data thread. @return whether it became true within 10 s */
    bool eventually(const std::function<bool()> &condition);

    RawPeer connect() const;

    /** @return a request with the key and the fields @p rest, each of which ends with CRLF. */
    static std::string request(const std::string &line, const std::string &rest = {});

    /** Sends a request on a new connection. @return the connection */
    RawPeer sendNew(const std::string &line, const std::string &rest = {}) const;

    static std::shared_ptr<settings::Settings> makeSettings();

    boost::asio::io_context ioContext { 1 };
    core::SystemClock clock;
    core::NullEventSink events;
    FakeSettingsStore store;
    FakeAdmission admission;
    FakeBalancer balancer;
    FakeLookup lookup;
    FakeObserver observer;
    IServingGate *servingGate = nullptr; //!< passed by start(), as the next one
    IRetryBudget *retryBudget = nullptr;
    EntryOptions options;
    RawEndpoint first;
    RawEndpoint second;
    std::unique_ptr<EntryServer> server;
    std::uint16_t port = 0;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread thread;
};

} // namespace damaskgate::entry
