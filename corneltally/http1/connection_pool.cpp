#include "corneltally/http1/connection_pool.h"

#include "corneltally/http1/client_connection.h"

#include <algorithm>

namespace corneltally::http1 {

connection_pool::connection_pool(kernel::event_loop &inLoop, limits inLimits)
    : mLoop(inLoop)
    , mLimits(inLimits)
{ }

connection_pool::~connection_pool() = default;

bool connection_pool::usable(const client_connection &inConnection, core::duration inMaxIdle) const
{
    if (!inConnection.reusable())
        return false;
    const core::duration serverLimit
        = inConnection.serverIdleLimit().value_or(mLimits.defaultIdleLimit);
    const core::duration idle = core::boot_clock::now() - inConnection.lastInput();
    return idle <= std::min(inMaxIdle, serverLimit - mLimits.closeMargin);
}

std::unique_ptr<client_connection> connection_pool::take(const address &inTarget,
                                                         core::duration inMaxIdle)
{
    const auto found = mIdle.find(inTarget);
    if (found != mIdle.end()) {
        auto &idle = found->second;
        while (!idle.empty()) {
            std::unique_ptr<client_connection> connection = std::move(idle.back());
            idle.pop_back();
            if (usable(*connection, inMaxIdle))
                return connection;
            if (connection->reusable()) {
                // Idle for too long for this request; the remaining connections were idle longer.
                idle.push_back(std::move(connection));
                break;
            }
        }
    }
    return open(inTarget);
}

std::unique_ptr<client_connection> connection_pool::open(const address &inTarget)
{
    ++mOpened;
    return std::make_unique<client_connection>(mLoop, inTarget, mLimits.dataTimeout);
}

void connection_pool::give(std::unique_ptr<client_connection> inConnection)
{
    if (!inConnection->reusable())
        return;
    auto &idle = mIdle[inConnection->target()];
    if (idle.size() < mLimits.maxIdle)
        idle.push_back(std::move(inConnection));
}

void connection_pool::closeIdleTo(const address &inTarget)
{
    mIdle.erase(inTarget);
}

void connection_pool::prune()
{
    for (auto entry = mIdle.begin(); entry != mIdle.end();) {
        std::erase_if(entry->second, [this](const auto &inConnection) {
            return !usable(*inConnection, core::duration::max());
        });
        entry = entry->second.empty() ? mIdle.erase(entry) : std::next(entry);
    }
}

} // namespace corneltally::http1
