#pragma once

#include <algorithm>
#include <span>
#include <string_view>

#include "damaskgate/settings/settingstypes.h"

#include "fieldvalue.h"

namespace damaskgate::settings {

/** Name, default and reader of one field of an entry. */
template <typename Entry>
struct FieldRule
{
    std::string_view name;
    std::string_view builtInDefault; //!< JSON, used if no branch sets the field; empty: required
    void (*read)(const FieldValue &, Entry &);
};

/** An endpoint with the service that it belongs to. */
struct EndpointEntry
{
    Endpoint endpoint;
    core::ServiceName service;
};

/** @return the rules of all fields of an entry of type @p Entry. */
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

/** Names of the kinds of entries: the first part of a branch name. */
namespace kinds {

constexpr std::string_view Domains = "domains";
constexpr std::string_view Hosts = "hosts";
constexpr std::string_view Workspaces = "workspaces";
constexpr std::string_view Routes = "routes";
constexpr std::string_view Services = "services";
constexpr std::string_view Endpoints = "endpoints";

} // namespace kinds

/** The root branch, which holds defaults for every kind. */
constexpr std::string_view RootBranch = "defaults";

} // namespace damaskgate::settings
