#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "damaskgate/support/random.h"
#include "damaskgate/support/virtualtime.h"

namespace damaskgate::support {

/** Simulated network between numbered machines; loses, duplicates, delays or blocks messages. */
class LossyNetwork
{
public:
    struct Quality
    {
        double loss = 0;
        double repeat = 0;
        double late = 0; //!< probability that a message is delayed, by up to `lateness`
        core::Duration lateness = std::chrono::seconds(4);
    };

    LossyNetwork(VirtualTime &time, Random &random, std::size_t machines)
        : time(time), random(random), machines(machines), cuts(machines * machines, 0)
    {}

    /** Schedules @p deliver for each copy that arrives: none, one or two. */
    void send(std::size_t from, std::size_t to, const VirtualTime::Task &deliver)
    {
        const bool isCut = this->cuts[from * this->machines + to] > 0;
        if (isCut || this->random.chance(this->quality.loss)) {
            return;
        }
        const std::size_t copies = this->random.chance(this->quality.repeat) ? 2 : 1;
        for (std::size_t copy = 0; copy < copies; ++copy) {
            this->time.runAfter(this->latency(), deliver);
        }
    }

    /** Adds @p change (1 or -1) to the number of active cuts from one machine to another. */
    void changeCut(std::size_t from, std::size_t to, int change)
    {
        this->cuts[from * this->machines + to] += change;
    }

    Quality quality;

private:
    core::Duration latency()
    {
        using namespace std::chrono_literals;
        const core::Duration baseLatency = this->random.between(200us, 1500us);
        const bool isLate = this->random.chance(this->quality.late);
        return isLate ? baseLatency + this->random.between(0s, this->quality.lateness)
                      : baseLatency;
    }

    VirtualTime &time;
    Random &random;
    std::size_t machines;
    std::vector<int> cuts;
};

} // namespace damaskgate::support
