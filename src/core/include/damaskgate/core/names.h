#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace damaskgate::core {

/**
 * A strongly typed name: names of different kinds do not convert into each other.
 *
 * @tparam Tag incomplete type that identifies the kind of name
 */
template <typename Tag>
class Name
{
public:
    Name() = default;

    explicit Name(std::string value) : value(std::move(value)) {}

    const std::string &text() const
    {
        return this->value;
    }

    bool isEmpty() const
    {
        return this->value.empty();
    }

    auto operator<=>(const Name &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const Name &name)
    {
        return stream << name.value;
    }

private:
    std::string value;
};

using DomainName = Name<struct DomainTag>;
using EndpointName = Name<struct EndpointTag>;
using HostName = Name<struct HostTag>;
using RouteName = Name<struct RouteTag>;
using ServiceName = Name<struct ServiceTag>;
using WorkspaceName = Name<struct WorkspaceTag>;

} // namespace damaskgate::core

template <typename Tag>
struct std::hash<damaskgate::core::Name<Tag>>
{
    std::size_t operator()(const damaskgate::core::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string> {}(name.text());
    }
};
