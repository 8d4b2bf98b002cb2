#pragma once

#include "corneltally/core/boot_clock.h"

#include <deque>
#include <string>
#include <utility>

namespace standins {

/// List of instances that shows a change only after a lag.
class instance_list
{
public:
    explicit instance_list(corneltally::core::duration inLag)
        : mLag(inLag)
    { }

    /// Stores a new list as the JSON text that is shown after the lag.
    void set(std::string inJson, corneltally::core::time_point inNow)
    {
        mVersions.emplace_back(inNow + mLag, std::move(inJson));
    }

    const std::string &shown(corneltally::core::time_point inNow)
    {
        while (mVersions.size() > 1 && mVersions[1].first <= inNow)
            mVersions.pop_front();
        return mVersions.front().second;
    }

    void setLag(corneltally::core::duration inLag) { mLag = inLag; }

private:
    corneltally::core::duration mLag;
    std::deque<std::pair<corneltally::core::time_point, std::string>> mVersions{
        {corneltally::core::time_point(), "{\"instances\":[]}"}};
};

} // namespace standins
