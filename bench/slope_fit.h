#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

namespace bench {

/// Least-squares line through measured sizes and costs.
class slope_fit
{
public:
    void add(double inSize, double inCost)
    {
        mSizes.push_back(inSize);
        mCosts.push_back(inCost);
    }

    double slope() const
    {
        const double meanSize = mean(mSizes);
        const double meanCost = mean(mCosts);
        double covariance = 0;
        double variance = 0;
        for (std::size_t index = 0; index < mSizes.size(); ++index) {
            covariance += (mSizes[index] - meanSize) * (mCosts[index] - meanCost);
            variance += (mSizes[index] - meanSize) * (mSizes[index] - meanSize);
        }
        return variance > 0 ? covariance / variance : 0;
    }

    double intercept() const { return mean(mCosts) - slope() * mean(mSizes); }

    double at(double inSize) const { return intercept() + slope() * inSize; }

    /// Largest deviation of a measured cost from the line, relative to the largest cost.
    double residual() const
    {
        double largest = 0;
        for (std::size_t index = 0; index < mSizes.size(); ++index)
            largest = std::max(largest, std::abs(mCosts[index] - at(mSizes[index])));
        const double scale = *std::ranges::max_element(mCosts);
        return scale > 0 ? largest / scale : 0;
    }

    /// Prints the measured points, the line and its value at the target size.
    void print(const std::string &inName, const std::string &inUnit, double inTarget) const
    {
        std::printf("%-34s", inName.c_str());
        for (std::size_t index = 0; index < mSizes.size(); ++index)
            std::printf(" %g:%.4g", mSizes[index], mCosts[index]);
        std::printf(" | %.4g + %.4g n %s, residual %.1f%%, at %g: %.4g\n", intercept(), slope(),
                    inUnit.c_str(), residual() * 100, inTarget, at(inTarget));
    }

private:
    static double mean(const std::vector<double> &inValues)
    {
        double sum = 0;
        for (const double value : inValues)
            sum += value;
        return inValues.empty() ? 0 : sum / static_cast<double>(inValues.size());
    }

    std::vector<double> mSizes;
    std::vector<double> mCosts;
};

} // namespace bench
