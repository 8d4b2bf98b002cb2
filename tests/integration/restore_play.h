#pragma once

#include "standins/site.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// What a play does beside the changes of the configuration.
struct restore_options
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds time = std::chrono::seconds(25);
    /// Greatest age of the copies that the store comes back from; zero for no restores.
    std::chrono::milliseconds maxAge = std::chrono::seconds(9);
    int instances = 4;
};

/// Plays changes of the configuration against forwarding instances while the store comes back from
/// older copies and instances are killed, paused or cut off from the store. Callers of each
/// instance check which routes it serves.
class restore_play
{
public:
    explicit restore_play(restore_options inOptions);
    ~restore_play();
    restore_play(const restore_play &) = delete;
    restore_play &operator=(const restore_play &) = delete;

    void run();

    /// Requests whose route told which version was in force.
    std::size_t checked() const { return mChecked; }
    std::size_t restores() const { return mRestores; }
    std::size_t disturbances() const { return mDisturbances; }
    /// Requests that were handled as only an older version allows.
    const std::vector<std::string> &violations() const { return mViolations; }

private:
    using steady = std::chrono::steady_clock;

    /// A route that one version adds and a later one removes.
    struct temporary_route
    {
        std::uint64_t added = 0;
        steady::time_point addedAt = steady::time_point::max();
        std::uint64_t removed = 0;
        steady::time_point removedAt = steady::time_point::max();
    };
    struct instance_state
    {
        unsigned short port = 0;
        /// Since when it has run and reached the store.
        steady::time_point calmSince;
        /// Counts the processes of this name.
        int process = 0;
        /// Version that an answer of this process has shown to be in force.
        std::uint64_t shown = 0;
    };

    std::chrono::milliseconds between(int inFromMs, int inToMs);
    void publishNext();
    void restoreStore();
    void disturbInstance();
    void endDisturbances(steady::time_point inNow);
    void restart(const std::string &inInstance);
    void setCalm(const std::string &inInstance, steady::time_point inSince);
    void check(const std::string &inInstance, std::uint64_t inSeed);
    void judge(const std::string &inInstance, const instance_state &inAtStart,
               const temporary_route &inRoute, steady::time_point inSentAt, int inStatus);
    std::string describe(const std::string &inInstance, const temporary_route &inRoute,
                         int inStatus) const;

    restore_options mOptions;
    standins::site mSite;
    std::mt19937_64 mRandom;
    std::atomic<bool> mStops = false;
    std::vector<std::thread> mCallers;
    std::mutex mMutex;
    steady::time_point mBegan = steady::now();
    steady::time_point mStoreReturnsAt;
    std::vector<temporary_route> mRoutes;
    std::map<std::string, instance_state> mInstances;
    std::uint64_t mVersion = 1;
    std::size_t mChecked = 0;
    std::size_t mRestores = 0;
    std::size_t mDisturbances = 0;
    /// What ends the disturbance of an instance, and when.
    std::map<std::string, std::pair<steady::time_point, std::function<void()>>> mEnds;
    std::vector<std::string> mViolations;
};
