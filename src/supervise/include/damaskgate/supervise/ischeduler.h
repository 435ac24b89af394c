#pragma once

#include <functional>

#include "damaskgate/core/time.h"

namespace damaskgate::supervise {

/** Runs delayed tasks on the thread of the supervised components. */
class IScheduler
{
public:
    using Task = std::function<void()>;

    virtual ~IScheduler() = default;

    /** Runs @p task once after @p delay. A scheduled task cannot be cancelled. */
    virtual void runAfter(core::Duration delay, Task task) = 0;
};

} // namespace damaskgate::supervise
