#pragma once

#include <algorithm>
#include <span>
#include <string_view>

#include "damaskgate/settings/settingstypes.h"

#include "fieldvalue.h"

namespace damaskgate::settings {

/** How one field of an entry is checked and stored. */
template <typename Entry>
struct FieldRule
{
    std::string_view name;
    std::string_view builtIn; //!< JSON used when no branch sets the field; empty: required
    void (*read)(const FieldValue &, Entry &);
};

/** An endpoint with the service that it belongs to. */
struct EndpointEntry
{
    Endpoint endpoint;
    core::ServiceName service;
};

/** @return the fields of each kind of entry. */
template <typename Entry>
std::span<const FieldRule<Entry>> fieldRules();

template <>
std::span<const FieldRule<FailureDomain>> fieldRules();
template <>
std::span<const FieldRule<Host>> fieldRules();
template <>
std::span<const FieldRule<Workspace>> fieldRules();
template <>
std::span<const FieldRule<Route>> fieldRules();
template <>
std::span<const FieldRule<Service>> fieldRules();
template <>
std::span<const FieldRule<EndpointEntry>> fieldRules();

/** Names of the kinds: the first part of a branch's name. */
namespace kinds {

constexpr std::string_view Domains = "domains";
constexpr std::string_view Hosts = "hosts";
constexpr std::string_view Workspaces = "workspaces";
constexpr std::string_view Routes = "routes";
constexpr std::string_view Services = "services";
constexpr std::string_view Endpoints = "endpoints";

} // namespace kinds

/** Branch above all others: defaults for every kind. */
constexpr std::string_view RootBranch = "defaults";

} // namespace damaskgate::settings
