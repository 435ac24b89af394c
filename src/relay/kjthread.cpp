#include "kjthread.h"

#include <utility>

namespace damaskgate::relay {

KjThread::KjThread() : thread([this] { this->run(); }) {}

KjThread::~KjThread()
{
    this->stop([](kj::AsyncIoContext &) {});
}

void KjThread::post(Work work)
{
    const std::scoped_lock lock(this->mutex);
    if (!this->isStopping) {
        this->queue.push_back(std::move(work));
        this->wake();
    }
}

void KjThread::stop(Work lastWork)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->isStopping) {
            this->queue.push_back(std::move(lastWork));
            this->isStopping = true;
            this->wake();
        }
    }
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

//! NOTE kj::Executor cannot be used here: the posting threads have no KJ event loop.
void KjThread::wake()
{
    KJ_IF_MAYBE (fulfiller, this->wakeFulfiller) {
        (*fulfiller)->fulfill();
        this->wakeFulfiller = nullptr;
    }
}

void KjThread::run()
{
    auto io = kj::setupAsyncIo();
    bool isLastRound = false;
    while (!isLastRound) {
        std::deque<Work> work = this->waitForWork(io.waitScope);
        {
            const std::scoped_lock lock(this->mutex);
            isLastRound = this->isStopping && this->queue.empty();
        }
        for (const Work &item : work) {
            item(io);
        }
    }
}

std::deque<KjThread::Work> KjThread::waitForWork(kj::WaitScope &scope)
{
    auto waiting = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->queue.empty()) {
            return std::exchange(this->queue, {});
        }
        this->wakeFulfiller = kj::mv(waiting.fulfiller);
    }
    waiting.promise.wait(scope);
    const std::scoped_lock lock(this->mutex);
    return std::exchange(this->queue, {});
}

} // namespace damaskgate::relay
