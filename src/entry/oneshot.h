#pragma once

#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "httptypes.h"

namespace damaskgate::entry {

/** A value that one coroutine waits for; only the first set() takes effect. */
template <typename T>
class OneShot
{
public:
    explicit OneShot(const asio::any_io_executor &executor)
        : timer(executor, asio::steady_timer::time_point::max())
    {}

    void set(T next)
    {
        if (this->value) {
            return;
        }
        this->value.emplace(std::move(next));
        this->timer.cancel();
    }

    bool isSet() const
    {
        return this->value.has_value();
    }

    /** Waits for the value and moves it out; may be called once only. */
    asio::awaitable<T> wait()
    {
        if (!this->value) {
            co_await this->timer.async_wait(WithError);
        }
        co_return std::move(*this->value);
    }

private:
    asio::steady_timer timer;
    std::optional<T> value;
};

template <typename T>
using OneShotPtr = std::shared_ptr<OneShot<T>>;

} // namespace damaskgate::entry
