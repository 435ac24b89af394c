#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/error.h"

namespace damaskgate::routing {

/** Finds the caller's key in a request and removes it from what is sent to an upstream. */
class KeyFilter
{
public:
    /**
     * @param scheme authentication scheme of keys in the Authorization field, followed by a space;
     *        must outlive the filter
     */
    explicit KeyFilter(std::string_view scheme = "Bearer ") : scheme(scheme) {}

    /** Records the key if the header field carries one. */
    void inspectField(std::string_view name, std::string_view value);

    /** Records the keys in the parameters of the query. */
    void inspectQuery(std::string_view query);

    /**
     * @return the key, or an empty text if the request has none; BadRequest if it has several
     *         different keys
     */
    core::Result<std::string_view> key() const;

    /** @return whether the field is meant for a key or contains one and must not be forwarded. */
    bool isFieldDropped(std::string_view name, std::string_view value) const;

    /** @return @p query without the parameters that carry or contain a key. */
    std::string filterQuery(std::string_view query) const;

    /** @return whether @p text contains a recorded key, raw or percent-encoded. */
    bool containsKey(std::string_view text) const;

private:
    void addKey(std::string_view value);

    std::string_view scheme;
    std::vector<std::string> keys;
};

} // namespace damaskgate::routing
