#pragma once

#include "damaskgate/core/time.h"

namespace damaskgate::upstreams {

/**
 * Estimates how long requests stay at an endpoint, compared with the other endpoints of its
 * service. Hosts learn of the start and the end of each request of all hosts, so this needs no
 * message and no report of the endpoint, which may be wrong. Requests of all routes are averaged,
 * since endpoints of a service get the same mix of them.
 */
class EndpointSpeed
{
public:
    static constexpr int EndpointRequests = 24;
    static constexpr int ServiceRequests = 400;

    /** @param averagedRequests number of requests in the moving average */
    explicit EndpointSpeed(int averagedRequests = EndpointRequests);

    /** Records the time that a request spent at the endpoint. */
    void onStay(core::Duration stay);

    /**
     * @param serviceStay average of the service's endpoints; zero: not known
     * @return the average stay here relative to it, limited to a range that bounds the effect of a
     *         few odd requests; 1 before there are enough requests
     */
    double slowness(core::Duration serviceStay) const;

    /** @return the average stay; zero before the first request. */
    core::Duration averageStay() const;

private:
    int averagedRequests;
    core::Duration average {};
    int samples = 0;
};

} // namespace damaskgate::upstreams
