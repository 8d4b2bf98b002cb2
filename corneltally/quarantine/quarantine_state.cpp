#include "corneltally/quarantine/quarantine_state.h"

#include <algorithm>

namespace corneltally::quarantine {

void quarantine_state::merge(const quarantine_state &inOther)
{
    for (const auto &[start, loss] : inOther.losses) {
        const auto [known, isNew] = losses.try_emplace(start, loss);
        if (isNew)
            continue;
        known->second.at = std::min(known->second.at, loss.at);
        known->second.parts.insert(loss.parts.begin(), loss.parts.end());
    }
    for (const auto &[subject, at] : inOther.answers) {
        core::time_point &known = answers[subject];
        known = std::max(known, at);
    }
    for (const auto &[part, state] : inOther.parts) {
        quarantined_part &known = parts[part];
        if (state.isNewerThan(known))
            known = state;
    }
}

} // namespace corneltally::quarantine
