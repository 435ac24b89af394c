#pragma once

#include <boost/asio/io_context.hpp>

#include "damaskgate/supervise/ischeduler.h"

namespace damaskgate::supervise {

/** Schedules tasks on an io_context, which must be run by a single thread. */
class AsioScheduler final : public IScheduler
{
public:
    explicit AsioScheduler(boost::asio::io_context &context);

    void runAfter(core::Duration delay, Task task) override;

private:
    boost::asio::io_context &context;
};

} // namespace damaskgate::supervise
