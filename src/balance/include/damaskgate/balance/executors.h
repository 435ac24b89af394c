#pragma once

#include <functional>

namespace damaskgate::balance {

/** Functions that post work to the threads of the daemon. */
struct Executors
{
    using Post = std::function<void(std::function<void()>)>;

    Post toData; //!< runs its argument on the data thread
    Post toControl; //!< runs its argument on the control thread
};

} // namespace damaskgate::balance
