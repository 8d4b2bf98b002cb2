#include "corneltally/settings/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace corneltally::settings {

namespace {

std::size_t editDistance(std::string_view inFirst, std::string_view inSecond)
{
    std::vector<std::size_t> row(inSecond.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t(0));
    for (std::size_t i = 0; i < inFirst.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < inSecond.size(); ++j) {
            const std::size_t substituted = diagonal + (inFirst[i] == inSecond[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string_view nearestName(std::string_view inName,
                             const std::vector<std::string_view> &inCandidates)
{
    std::string_view best;
    std::size_t bestDistance = inName.size() / 2 + 1;
    for (const std::string_view candidate : inCandidates) {
        const std::size_t distance = editDistance(inName, candidate);
        if (distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

} // namespace corneltally::settings
