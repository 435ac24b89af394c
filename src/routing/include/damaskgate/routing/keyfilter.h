#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/error.h"

namespace damaskgate::routing {

/** Finds the caller's key in a request and keeps it from the upstream. */
class KeyFilter
{
public:
    /** @param scheme of the Authorization field that carries a key, with a blank; outlives this */
    explicit KeyFilter(std::string_view scheme = "Bearer ") : scheme(scheme) {}

    /** Takes the value of a field; only those that carry a key are kept. */
    void inspectField(std::string_view name, std::string_view value);

    /** Takes the query of the request. */
    void inspectQuery(std::string_view query);

    /**
     * @return the key, or an empty text when none was sent; BadRequest when different keys were
     *         sent
     */
    core::Result<std::string_view> key() const;

    /** @return whether the field must not reach an upstream. */
    bool isFieldDropped(std::string_view name, std::string_view value) const;

    /** @return @p query without the parameters that carry or contain the key. */
    std::string filterQuery(std::string_view query) const;

    /** @return whether @p text contains the key, raw or percent-encoded. */
    bool containsKey(std::string_view text) const;

private:
    void addKey(std::string_view value);

    std::string_view scheme;
    std::vector<std::string> keys;
};

} // namespace damaskgate::routing
