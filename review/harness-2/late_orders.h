#pragma once

#include "review/harness-2/deployment.h"
#include "review/harness-2/open_caller.h"

#include <cstddef>
#include <random>
#include <string>

namespace review {

struct late_orders_options
{
    std::string folder;
    std::string record;
    int subnet = 8;
    /// What an engine answers to an unload that it is already carrying out.
    int repeatedUnloadStatus = 202;
    /// Whether orders get no answer and are carried out late.
    bool leavesOrders = true;
    /// Whether some callers leave before their answer is complete.
    bool callersLeave = true;
};

/// Callers that ask engines for more adapters than these have places for, while a share of the
/// orders to the engines gets no answer and is carried out late. Ends when an engine was ordered to
/// load beyond its places, which ends that engine.
class late_orders_run
{
public:
    explicit late_orders_run(const late_orders_options &inOptions);

    /// Returns the exit code of the case.
    int run();

private:
    void send();
    int judge();

    call_record mRecord;
    deployment mSite;
    open_caller mCallers;
    std::mt19937_64 mRandom{std::random_device{}()};
    std::size_t mSent = 0;
    steady::time_point mStart;
    bool mCallersLeave;
};

} // namespace review
