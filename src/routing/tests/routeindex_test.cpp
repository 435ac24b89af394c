#include "damaskgate/routing/routeindex.h"

#include <memory>
#include <string_view>
#include <utility>

#include <gtest/gtest.h>

#include "damaskgate/routing/routetable.h"

using namespace damaskgate;

namespace {

void addRoute(settings::Settings &settings, const char *name, const char *prefix,
              std::vector<std::string> methods = {})
{
    settings::Route route;
    route.name = core::RouteName(name);
    route.pathPrefix = prefix;
    route.methods = std::move(methods);
    settings.routes[route.name] = route;
}

void addWorkspace(settings::Settings &settings, const char *name,
                  const std::vector<const char *> &keys)
{
    settings::Workspace workspace;
    workspace.name = core::WorkspaceName(name);
    for (const char *key : keys) {
        workspace.keyHashes.push_back(core::sha256(key));
    }
    settings.workspaces[workspace.name] = workspace;
}

std::shared_ptr<settings::Settings> makeSettings()
{
    auto settings = std::make_shared<settings::Settings>();
    addRoute(*settings, "halls", "/halls");
    addRoute(*settings, "rooms", "/halls/rooms/");
    addRoute(*settings, "read", "/classes", { "GET", "HEAD" });
    addRoute(*settings, "book", "/classes", { "POST" });
    addWorkspace(*settings, "parents", { "key-1", "key-2" });
    addWorkspace(*settings, "schools", { "key-3" });
    return settings;
}

struct RouteCase
{
    std::string_view path;
    std::string_view method;
    std::string_view route; //!< Name of the expected route; empty if none matches
};

constexpr RouteCase RouteCases[] {
    { "/halls", "GET", "halls" },
    { "/halls/", "GET", "halls" },
    { "/halls/7", "GET", "halls" },
    { "/hallsx", "GET", "" },
    { "/halls/rooms", "GET", "halls" },
    { "/halls/rooms/", "GET", "rooms" },
    { "/halls/rooms/1/2", "GET", "rooms" },
    { "/halls/roomsx", "GET", "halls" },
    { "/classes/1", "GET", "read" },
    { "/classes/1", "POST", "book" },
    { "/classes/1", "DELETE", "" },
    { "/classes", "get", "" },
    { "/", "GET", "" },
    { "/other", "GET", "" },
};

class StoreStub final : public settings::ISettingsStore
{
public:
    settings::SettingsPtr current() const override
    {
        return this->settings;
    }

    void addListener(Listener listener) override
    {
        this->listeners.push_back(std::move(listener));
    }

    void replace(settings::SettingsPtr next)
    {
        this->settings = std::move(next);
        for (const Listener &listener : this->listeners) {
            listener(this->settings);
        }
    }

private:
    settings::SettingsPtr settings;
    std::vector<Listener> listeners;
};

} // namespace

TEST(RouteIndex_Tests, FindRoute_Paths_LongestPrefixOnSegmentsWins)
{
    // [GIVEN] Routes whose prefixes overlap
    const routing::RouteIndex index(makeSettings());
    for (const RouteCase &item : RouteCases) {
        SCOPED_TRACE(std::string(item.method) + " " + std::string(item.path));

        // [WHEN] A request is routed
        const auto route = index.findRoute(item.path, item.method);

        // [THEN] The longest prefix with the method wins
        EXPECT_EQ(route ? (*route)->name.text() : "", item.route);
    }
}

// Guards against requests that got the route, and so the service and the repetition, of a prefix
// that is longer than their path.
TEST(RouteIndex_Tests, FindRoute_PrefixEndsWithSlash_MatchesOnlyPathsThatBeginWithIt)
{
    // [GIVEN] Nested routes whose prefixes end with a slash, on one host
    auto settings = std::make_shared<settings::Settings>();
    addRoute(*settings, "orders", "/orders/");
    addRoute(*settings, "waitlist", "/orders/waitlist/");
    addRoute(*settings, "days", "/orders/waitlist/days/");
    for (auto &[name, route] : settings->routes) {
        route.host = "a.example";
    }
    const routing::RouteIndex index(settings);
    constexpr std::pair<std::string_view, std::string_view> Cases[] {
        { "/orders", "" },
        { "/orders/", "orders" },
        { "/orders/7", "orders" },
        { "/ordersx", "" },
        { "/orders/waitlist", "orders" },
        { "/orders/waitlistx/1", "orders" },
        { "/orders/waitlist/", "waitlist" },
        { "/orders/waitlist/days", "waitlist" },
        { "/orders/waitlist/days/", "days" },
        { "/orders/waitlist/days/1/2/", "days" },
        { "/", "" },
    };
    for (const auto &[path, expected] : Cases) {
        SCOPED_TRACE(path);

        // [WHEN] A request is routed
        const auto route = index.findRoute(path, "POST", "a.example");

        // [THEN] It is on the route with the longest prefix that begins its path
        EXPECT_EQ(route ? (*route)->name.text() : "", expected);
    }
}

TEST(RouteIndex_Tests, FindRoute_SamePrefixWithAndWithoutSlash_AreTwoRoutes)
{
    // [GIVEN] A route for a path and one for the paths below it
    auto settings = std::make_shared<settings::Settings>();
    addRoute(*settings, "list", "/classes");
    addRoute(*settings, "items", "/classes/");
    const routing::RouteIndex index(settings);

    // [THEN] Each path is on its own route
    EXPECT_EQ((*index.findRoute("/classes", "GET"))->name.text(), "list");
    EXPECT_EQ((*index.findRoute("/classes/", "GET"))->name.text(), "items");
    EXPECT_EQ((*index.findRoute("/classes/7", "GET"))->name.text(), "items");
}

// Guards against a path segment in the host name that is taken for a part of the path.
TEST(RouteIndex_Tests, FindRoute_HostWithSlash_IsNotTheHostOfARoute)
{
    // [GIVEN] A route of a host
    auto settings = std::make_shared<settings::Settings>();
    addRoute(*settings, "orders", "/orders/");
    settings->routes.at(core::RouteName("orders")).host = "a.example";
    const routing::RouteIndex index(settings);

    // [THEN] A host name that ends with the prefix of the route does not match it
    EXPECT_TRUE(index.findRoute("/orders/7", "GET", "a.example"));
    EXPECT_FALSE(index.findRoute("/7", "GET", "a.example/orders"));
}

TEST(RouteIndex_Tests, FindRoute_RootPrefix_MatchesOtherPaths)
{
    // [GIVEN] A route with the root path as prefix
    auto settings = makeSettings();
    addRoute(*settings, "all", "/");
    const routing::RouteIndex index(settings);

    // [THEN] It is found for paths that match no other route
    EXPECT_EQ((*index.findRoute("/", "GET"))->name.text(), "all");
    EXPECT_EQ((*index.findRoute("/other/x", "GET"))->name.text(), "all");
    EXPECT_EQ((*index.findRoute("/halls", "GET"))->name.text(), "halls");
}

TEST(RouteIndex_Tests, FindWorkspace_Keys_OnlyCurrentOnes)
{
    // [GIVEN] Workspaces with keys
    const routing::RouteIndex index(makeSettings());

    // [THEN] Each key of a workspace is found, any other is refused
    EXPECT_EQ((*index.findWorkspace("key-2"))->name.text(), "parents");
    EXPECT_EQ((*index.findWorkspace("key-3"))->name.text(), "schools");
    EXPECT_EQ(index.findWorkspace("key-4").error().reason, core::Reason::KeyUnknown);
    EXPECT_EQ(index.findWorkspace("").error().reason, core::Reason::KeyMissing);
}

TEST(RouteIndex_Tests, FindRoute_NoSettings_FindsNone)
{
    // [GIVEN] An index without settings, as before the first settings are accepted
    const routing::RouteIndex index(nullptr);

    // [THEN] Neither a route nor a workspace is found
    EXPECT_FALSE(index.findRoute("/halls", "GET"));
    EXPECT_FALSE(index.findWorkspace("key-1"));
}

TEST(RouteTable_Tests, Current_KeyWithdrawn_IndexIsReplacedAndOldOneStaysUsable)
{
    // [GIVEN] A table that follows a store
    StoreStub store;
    const routing::RouteTable table(store);
    store.replace(makeSettings());
    const auto before = table.current();

    // [WHEN] New settings without a key replace them
    auto next = makeSettings();
    next->workspaces[core::WorkspaceName("parents")].keyHashes.clear();
    store.replace(next);

    // [THEN] The current index rejects the key; a request that holds the old index can still use it
    EXPECT_FALSE(table.current()->findWorkspace("key-1"));
    EXPECT_TRUE(before->findWorkspace("key-1"));
}
