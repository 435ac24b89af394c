#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include <kj/async-io.h>

namespace damaskgate::relay {

/** A thread that runs a KJ event loop and the work that other threads post to it. */
class KjThread
{
public:
    using Work = std::function<void(kj::AsyncIoContext &)>;

    KjThread();
    ~KjThread();

    KjThread(const KjThread &) = delete;
    KjThread &operator=(const KjThread &) = delete;

    /** Runs @p work on the thread. Calls after stop() are ignored. */
    void post(Work work);

    /**
     * Runs the work posted so far and then @p lastWork on the thread, and waits until it has ended.
     * Must not be called on the thread itself.
     */
    void stop(Work lastWork);

private:
    using Fulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

    void run();
    std::deque<Work> waitForWork(kj::WaitScope &scope);
    void wake();

    std::mutex mutex;
    std::deque<Work> queue;
    kj::Maybe<Fulfiller> wakeFulfiller;
    bool isStopping = false;
    std::thread thread;
};

} // namespace damaskgate::relay
