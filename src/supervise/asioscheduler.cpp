#include "damaskgate/supervise/asioscheduler.h"

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace damaskgate::supervise {

AsioScheduler::AsioScheduler(boost::asio::io_context &context) : context(context) {}

void AsioScheduler::runAfter(core::Duration delay, Task task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, task = std::move(task)](boost::system::error_code error) {
        if (!error) {
            task();
        }
    });
}

} // namespace damaskgate::supervise
