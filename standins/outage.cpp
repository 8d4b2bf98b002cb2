#include "standins/outage.h"

#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

namespace standins {

namespace core = corneltally::core;
namespace kernel = corneltally::kernel;

bool outage::set(std::string_view inMode, core::duration inDelay)
{
    if (inMode == "none")
        mMode = mode::none;
    else if (inMode == "refuse")
        mMode = mode::refuse;
    else if (inMode == "hang")
        mMode = mode::hang;
    else if (inMode == "slow")
        mMode = mode::slow;
    else if (inMode == "fail")
        mMode = mode::fail;
    else
        return false;
    mDelay = inDelay;
    for (const exchange_pointer &held : mHanging)
        held->abort();
    mHanging.clear();
    return true;
}

void outage::guard(const exchange_pointer &inExchange, std::function<void()> inServe)
{
    switch (mMode) {
    case mode::none:
        inServe();
        break;
    case mode::refuse:
        inExchange->abort();
        break;
    case mode::hang:
        mHanging.push_back(inExchange);
        break;
    case mode::slow:
        runLater(mLoop, mDelay, std::move(inServe));
        break;
    case mode::fail:
        inExchange->replyJson(503, R"({"error":{"type":"unavailable"}})");
        break;
    }
}

void runLater(kernel::event_loop &inLoop, core::duration inDelay, std::function<void()> inTask)
{
    auto later = std::make_shared<std::unique_ptr<kernel::timer>>();
    *later = std::make_unique<kernel::timer>(inLoop, [later, task = std::move(inTask)] {
        task();
        later->reset();
    });
    (*later)->startOnce(inDelay);
}

} // namespace standins
