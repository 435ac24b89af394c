#include "bookfleet.h"

#include <string>
#include <utility>

#include "damaskgate/core/hash.h"

namespace damaskgate::upstreams {

BookFleet::BookFleet(int hosts, core::Duration noteDelay) : noteDelay(noteDelay)
{
    std::vector<core::HostName> names;
    names.reserve(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i) {
        names.emplace_back("host-" + std::to_string(i));
    }
    for (int i = 0; i < hosts; ++i) {
        auto others = names;
        others.erase(others.begin() + i);
        this->books.push_back(
            std::make_unique<EndpointBook>(ChoiceModel {}, core::DomainName(), i + 1));
        this->books.back()->setHosts(names[i], others, this->now);
    }
}

void BookFleet::setEndpoints(const core::ServiceName &service, double coldRatePerSecond,
                             std::span<const RegisteredEndpoint> endpoints)
{
    for (const auto &book : this->books) {
        book->setServices({ { service, ServiceBounds { coldRatePerSecond } } });
        book->setEndpoints(endpoints, true, this->now);
    }
}

void BookFleet::advance(core::Duration step)
{
    this->now += step;
    while (!this->pending.empty() && this->pending.front().due <= this->now) {
        const Pending next = std::move(this->pending.front());
        this->pending.pop_front();
        for (std::size_t host = 0; host < this->books.size(); ++host) {
            if (host != next.from) {
                next.note(*this->books[host], static_cast<std::uint32_t>(next.from + 1));
            }
        }
    }
}

std::optional<Choice> BookFleet::send(std::size_t host, const balance::WorkRequest &request)
{
    auto choice = this->books[host]->choose(request, this->now);
    if (!choice) {
        return std::nullopt;
    }
    const std::uint32_t tag = core::nameHash(choice->grant.endpoint.name.text());
    this->tell(host, [this, tag](EndpointBook &book, std::uint32_t from) {
        book.onStarted(tag, from, this->now);
    });
    return choice;
}

void BookFleet::end(std::size_t host, const Choice &choice, balance::Outcome outcome)
{
    const std::uint32_t tag = core::nameHash(choice.grant.endpoint.name.text());
    const bool isRetrial = choice.isRetrial;
    this->tell(host, [this, tag, outcome, isRetrial](EndpointBook &book, std::uint32_t from) {
        book.onEnded(tag, from, outcome, this->now, isRetrial);
    });
}

void BookFleet::refuse(std::size_t host, const core::ServiceName &service)
{
    this->tell(host, [this, service](EndpointBook &book, std::uint32_t /*from*/) {
        book.onUnserved(service, this->now);
    });
}

std::size_t BookFleet::size() const
{
    return this->books.size();
}

void BookFleet::tell(std::size_t from, Note note)
{
    note(*this->books[from], 0);
    this->pending.push_back({ this->now + this->noteDelay, from, std::move(note) });
}

} // namespace damaskgate::upstreams
