#include "corneltally/routing/unserved_restrictions.h"

#include "corneltally/routing/routing_table.h"

#include <utility>

namespace corneltally::routing {

std::vector<unserved_restrictions::change>
unserved_restrictions::update(const configuration &inConfiguration, const domain_regions &inRegions,
                              core::time_point inNow)
{
    std::map<std::string, std::string, std::less<>> unserved;
    const auto addUnserved
        = [&](const std::string &inSubject, const region_restriction &inRestriction) {
              if (inRestriction.domains(inRegions).isEmpty())
                  unserved.emplace(inSubject, inRestriction.toText());
          };
    for (const route &entry : inConfiguration.routes)
        addUnserved("route " + entry.name, region_restriction(entry, nullptr));
    for (const client_account &entry : inConfiguration.accounts)
        addUnserved("account " + entry.name, region_restriction(route(), &entry));

    std::vector<change> changes;
    std::erase_if(mConditions, [&](const auto &inEntry) {
        const auto &[subject, known] = inEntry;
        if (unserved.contains(subject))
            return false;
        changes.push_back({subject, known.regions, false, inNow - known.since});
        return true;
    });
    for (auto &[subject, regions] : unserved) {
        if (mConditions.try_emplace(subject, condition{regions, inNow}).second)
            changes.push_back({subject, regions, true, {}});
    }
    return changes;
}

} // namespace corneltally::routing
