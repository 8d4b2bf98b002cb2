#include "tests/integration/restore_play.h"

#include "platform/names.h"
#include "standins/http_probe.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <nlohmann/json.hpp>

using namespace std::chrono_literals;
namespace http = corneltally::http;
namespace platform = corneltally::platform;
using nlohmann::json;
using standins::site;

namespace {

/// The platform's bounds: a configuration is in force so long after its acknowledgement, at
/// instances that have run and while the store has been without disruption for so long.
constexpr auto cApplyTime = 2s;
constexpr auto cStableTime = 3s;
/// Configurations after which a temporary route is removed again.
constexpr std::size_t cRouteLife = 3;
constexpr auto cCheckInterval = 8ms;
constexpr int cServed = 200;
constexpr int cNotFound = 404;

standins::site_options siteOptions(const restore_options &inOptions)
{
    return {.binaries = CORNELTALLY_BINARY_DIR,
            .folder = std::string(CORNELTALLY_BINARY_DIR) + "/" + program_invocation_short_name
                + "." + std::to_string(inOptions.seed),
            .instances = inOptions.instances,
            .engines = 1,
            .applications = 2,
            .failureDomains = {"north", "south", "west"},
            .proxied = true};
}

std::string pathOf(std::size_t inRoute)
{
    return "/extra-" + std::to_string(inRoute) + "/";
}

} // namespace

restore_play::restore_play(restore_options inOptions)
    : mOptions(inOptions)
    , mSite(siteOptions(inOptions))
    , mRandom(inOptions.seed)
{ }

restore_play::~restore_play()
{
    mStops = true;
    for (std::thread &caller : mCallers)
        caller.join();
}

std::chrono::milliseconds restore_play::between(int inFromMs, int inToMs)
{
    return std::chrono::milliseconds(inFromMs
                                     + static_cast<int>(mRandom() % (inToMs - inFromMs + 1)));
}

void restore_play::run()
{
    if (!mSite.start()) {
        mViolations.emplace_back("the site did not start");
        return;
    }
    mBegan = steady::now();
    for (const std::string &name : mSite.names("edge-"))
        mInstances[name] = {mSite.process(name).port("callers"), mBegan};
    for (const std::string &name : mSite.names("edge-"))
        mCallers.emplace_back([this, name, seed = mRandom()] { check(name, seed); });
    steady::time_point nextVersion = mBegan;
    steady::time_point nextRestore = mBegan + between(4000, 9000);
    steady::time_point nextDisturbance = mBegan + between(2000, 6000);
    while (steady::now() < mBegan + mOptions.time) {
        const steady::time_point now = steady::now();
        if (now >= nextVersion && now >= mStoreReturnsAt) {
            publishNext();
            nextVersion = now + between(600, 1000);
        }
        if (now >= nextRestore && mOptions.maxAge > 0ms) {
            restoreStore();
            nextRestore = now + between(4000, 9000);
        }
        if (now >= nextDisturbance) {
            disturbInstance();
            nextDisturbance = now + between(2000, 6000);
        }
        endDisturbances(now);
        std::this_thread::sleep_for(10ms);
    }
    endDisturbances(steady::time_point::max());
    mStops = true;
    for (std::thread &caller : std::exchange(mCallers, {}))
        caller.join();
}

/// Publishes a configuration with another temporary route and without the oldest one.
void restore_play::publishNext()
{
    json &routes = mSite.configuration().at("routes");
    json route = routes.at(0);
    const std::size_t number = mRoutes.size();
    route["name"] = "extra-" + std::to_string(number);
    route["path-prefix"] = pathOf(number);
    routes.push_back(route);
    if (number >= cRouteLife)
        routes.erase(routes.end() - static_cast<std::ptrdiff_t>(cRouteLife) - 1);
    ++mVersion;
    {
        const std::lock_guard lock(mMutex);
        mRoutes.push_back({.added = mVersion});
        if (number >= cRouteLife)
            mRoutes[number - cRouteLife].removed = mVersion;
    }
    mSite.publish();
    const std::lock_guard lock(mMutex);
    mRoutes.back().addedAt = steady::now();
    if (number >= cRouteLife)
        mRoutes[number - cRouteLife].removedAt = steady::now();
}

void restore_play::restoreStore()
{
    const auto age = between(1000, static_cast<int>(mOptions.maxAge.count()));
    const auto away = between(50, 600);
    mSite.restoreStore(age, away, between(100, 1500));
    const std::lock_guard lock(mMutex);
    mStoreReturnsAt = steady::now() + away;
    ++mRestores;
}

/// Kills or pauses an instance, or cuts it off from the store, for a time.
void restore_play::disturbInstance()
{
    const std::vector<std::string> names = mSite.names("edge-");
    const std::string &name = names[mRandom() % names.size()];
    const std::size_t kind = mRandom() % 4;
    const steady::time_point end = steady::now() + between(300, 4000);
    if (mEnds.contains(name))
        return;
    ++mDisturbances;
    setCalm(name, steady::time_point::max());
    if (kind == 0) {
        mSite.process(name).pause();
        mEnds[name] = {end, [this, name] { mSite.process(name).resume(); }};
    } else if (kind == 1) {
        const std::array<std::string, 3> faults{"cut", "freeze", "half_open"};
        mSite.linkFault({name + ">store"}, faults[mRandom() % faults.size()]);
        mEnds[name] = {end, [this, name] { mSite.linkFault({name + ">store"}, "heal"); }};
    } else {
        {
            // Its port may become that of another process.
            const std::lock_guard lock(mMutex);
            mInstances.at(name).port = 0;
        }
        mSite.process(name).kill();
        // Most are started again at once, while the others still know nothing of the end.
        mEnds[name] = {kind == 2 ? steady::now() : end, [this, name] { restart(name); }};
    }
}

void restore_play::endDisturbances(steady::time_point inNow)
{
    for (auto next = mEnds.begin(); next != mEnds.end();) {
        if (next->second.first > inNow) {
            ++next;
            continue;
        }
        next->second.second();
        setCalm(next->first, steady::now());
        next = mEnds.erase(next);
    }
}

void restore_play::restart(const std::string &inInstance)
{
    const bool isStarted = mSite.restart(inInstance);
    const std::lock_guard lock(mMutex);
    if (!isStarted)
        mViolations.push_back(inInstance + " did not start again");
    instance_state &state = mInstances.at(inInstance);
    state = {mSite.process(inInstance).port("callers"), steady::now(), state.process + 1};
}

void restore_play::setCalm(const std::string &inInstance, steady::time_point inSince)
{
    const std::lock_guard lock(mMutex);
    mInstances.at(inInstance).calmSince = inSince;
}

/// Sends requests for temporary routes to an instance until the play ends.
void restore_play::check(const std::string &inInstance, std::uint64_t inSeed)
{
    standins::http_probe probe;
    std::mt19937_64 random(inSeed);
    for (int count = 0; !mStops; ++count) {
        std::this_thread::sleep_for(cCheckInterval);
        std::size_t number = 0;
        instance_state atStart;
        {
            const std::lock_guard lock(mMutex);
            atStart = mInstances.at(inInstance);
            if (atStart.port == 0 || mRoutes.empty())
                continue;
            const std::size_t recent = std::min(mRoutes.size(), 4 * cRouteLife);
            number = mRoutes.size() - 1 - random() % recent;
        }
        http::call_request call{.target = {"127.0.0.1", atStart.port},
                                .method = "GET",
                                .path = pathOf(number) + "1",
                                .timeout = 3s};
        call.headers
            = {{"Host", site::cHost},
               {std::string(platform::cRequestIdField), inInstance + "-" + std::to_string(count)},
               {std::string(platform::cAuthorizationField),
                std::string(platform::cAuthorizationScheme) + "key-harbour"},
               {std::string(platform::cDeadlineField), "2000"}};
        const steady::time_point sentAt = steady::now();
        const http::response answer = probe.call(std::move(call));
        if (answer.outcome != http::call_outcome::completed)
            continue;
        const std::lock_guard lock(mMutex);
        judge(inInstance, atStart, mRoutes[number], sentAt, answer.status);
    }
}

void restore_play::judge(const std::string &inInstance, const instance_state &inAtStart,
                         const temporary_route &inRoute, steady::time_point inSentAt, int inStatus)
{
    instance_state &state = mInstances.at(inInstance);
    // Other refusals tell nothing of the version, for example those of an instance that has none
    // yet.
    if (state.process != inAtStart.process || state.port == 0
        || (inStatus != cServed && inStatus != cNotFound))
        return;
    ++mChecked;
    const bool isDenied = inStatus == cNotFound;
    // A denied route may be one that is not known yet, or one that is removed already.
    const bool isRemovalShown = isDenied && inAtStart.shown >= inRoute.added;
    const bool isOlderThanShown
        = inRoute.removed > 0 && !isDenied && inAtStart.shown >= inRoute.removed;
    if (isOlderThanShown)
        mViolations.push_back("went back: " + describe(inInstance, inRoute, inStatus));
    if (isDenied && inRoute.removed == 0 && inAtStart.shown >= inRoute.added)
        mViolations.push_back("went back: " + describe(inInstance, inRoute, inStatus));
    if (!isDenied)
        state.shown = std::max(state.shown, inRoute.added);
    else if (isRemovalShown)
        state.shown = std::max(state.shown, inRoute.removed);
    if (state.calmSince > inSentAt || inSentAt - state.calmSince < cStableTime
        || inSentAt < mStoreReturnsAt + cStableTime)
        return;
    const bool isAdded = inSentAt > inRoute.addedAt && inSentAt - inRoute.addedAt > cApplyTime;
    const bool isRemoved
        = inSentAt > inRoute.removedAt && inSentAt - inRoute.removedAt > cApplyTime;
    if (isAdded && inRoute.removed == 0 && isDenied)
        mViolations.push_back("an added route is denied: "
                              + describe(inInstance, inRoute, inStatus));
    if (isRemoved && !isDenied)
        mViolations.push_back("a removed route is served: "
                              + describe(inInstance, inRoute, inStatus));
}

std::string restore_play::describe(const std::string &inInstance, const temporary_route &inRoute,
                                   int inStatus) const
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - mBegan);
    return inInstance + " at " + std::to_string(at.count()) + " ms, status "
        + std::to_string(inStatus) + ", route of versions " + std::to_string(inRoute.added) + " to "
        + std::to_string(inRoute.removed);
}
