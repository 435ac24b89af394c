#pragma once

#include <functional>

#include "damaskgate/core/time.h"

namespace damaskgate::supervise {

/** Runs tasks later on the thread that the supervised components live on. */
class IScheduler
{
public:
    using Task = std::function<void()>;

    virtual ~IScheduler() = default;

    /** Runs @p task once after @p delay. A scheduled task cannot be withdrawn. */
    virtual void runAfter(core::Duration delay, Task task) = 0;
};

} // namespace damaskgate::supervise
