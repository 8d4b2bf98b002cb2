#include "corneltally/settings/tree_schema.h"

#include "corneltally/settings/nearest_name.h"

#include <algorithm>
#include <string>

namespace corneltally::settings {

namespace {

bool isAbove(node_kind inUpper, node_kind inLower)
{
    while (inLower != node_kind::root) {
        inLower = parentKind(inLower);
        if (inLower == inUpper)
            return true;
    }
    return false;
}

bool isAllowed(const tree_key &inEntry, node_kind inKind)
{
    return inEntry.user == inKind || (inEntry.inherited && isAbove(inKind, inEntry.user));
}

} // namespace

const std::vector<tree_key> &treeKeys()
{
    using enum value_type;
    using kind = node_kind;
    // Columns: user, inherited, required, {key, type, unit, default, minimum, maximum, choices}.
    static const std::vector<tree_key> sKeys{
        {kind::root,
         false,
         false,
         {"weight_loads_per_second", number, "loads per second", "3", 0.01, 10'000, ""}},
        {kind::root,
         false,
         false,
         {"weight_loads_in_flight", integer, "loads", "8", 1, 100'000, ""}},
        {kind::root, false, false, {"max_queue", integer, "requests", "256", 1, 100'000, ""}},
        {kind::root,
         false,
         false,
         {"patient_max_wait_ms", integer, "milliseconds", "20000", 0, 3'600'000, ""}},
        {kind::root,
         false,
         false,
         {"claim_window_s", integer, "seconds", "86400", 1, 2'592'000, ""}},
        {kind::root,
         false,
         false,
         {"log_retention_s", integer, "seconds", "115200", 2, 7'776'000, ""}},
        {kind::account,
         true,
         true,
         {"rate_tokens_per_second", number, "tokens per second", "", 0, 1e9, ""}},
        {kind::account, true, true, {"burst_tokens", number, "tokens", "", 0, 1e9, ""}},
        {kind::account, true, false, {"weight", number, "", "1", 0.001, 1'000, ""}},
        {kind::account,
         true,
         false,
         {"max_settings_age_s", integer, "seconds", "0", 0, 86'400, ""}},
        {kind::key, false, true, {"digest", digest, "", "", 0, 0, ""}},
        {kind::key, true, false, {"withdrawn", boolean, "", "false", 0, 0, ""}},
        {kind::adapter, true, true, {"version", name, "", "", 0, 0, ""}},
        {kind::adapter, true, true, {"base_model", name, "", "", 0, 0, ""}},
        {kind::route, true, false, {"kind", text, "", "\"model\"", 0, 0, "model|service"}},
        {kind::route, false, true, {"path", url_path, "", "", 0, 0, ""}},
        {kind::route, true, false, {"open", boolean, "", "false", 0, 0, ""}},
        {kind::route, true, false, {"repeatable", boolean, "", "false", 0, 0, ""}},
        {kind::route, true, false, {"class", text, "", "\"prompt\"", 0, 0, "prompt|patient"}},
        {kind::route,
         true,
         false,
         {"timeout_ms", integer, "milliseconds", "60000", 10, 86'400'000, ""}},
        {kind::route,
         true,
         false,
         {"stream_idle_ms", integer, "milliseconds", "15000", 10, 86'400'000, ""}},
        {kind::route, true, false, {"require_idempotency_key", boolean, "", "false", 0, 0, ""}},
        {kind::route, true, false, {"endpoints", name_list, "", "[]", 0, 0, ""}},
        {kind::route, true, false, {"accounts", name_list, "", "[]", 0, 0, ""}},
        {kind::endpoint, false, true, {"address", address, "", "", 0, 0, ""}},
        {kind::endpoint, true, true, {"failure_domain", name, "", "", 0, 0, ""}},
        {kind::endpoint, true, false, {"kind", text, "", "\"model\"", 0, 0, "model|service"}},
        {kind::endpoint, true, false, {"base_model", name, "", "", 0, 0, ""}},
        {kind::endpoint, true, false, {"checks_fencing", boolean, "", "false", 0, 0, ""}},
        {kind::endpoint, true, false, {"adapter_slots", integer, "adapters", "4", 1, 10'000, ""}},
        {kind::endpoint, true, false, {"run_slots", integer, "requests", "8", 1, 100'000, ""}},
        {kind::endpoint, true, false, {"leaving", boolean, "", "false", 0, 0, ""}},
        {kind::instance, false, false, {"peer_address", address, "", "", 0, 0, ""}},
        {kind::instance, true, true, {"failure_domain", name, "", "", 0, 0, ""}},
    };
    return sKeys;
}

const tree_key *findTreeKey(node_kind inKind, std::string_view inKey)
{
    const tree_key *inheritable = nullptr;
    for (const tree_key &entry : treeKeys()) {
        if (entry.definition.key != inKey)
            continue;
        if (entry.user == inKind)
            return &entry;
        if (isAllowed(entry, inKind))
            inheritable = &entry;
    }
    return inheritable;
}

std::string unknownKeyRemedy(node_kind inKind, std::string_view inKey)
{
    std::vector<std::string_view> candidates;
    for (const tree_key &entry : treeKeys()) {
        if (entry.definition.key == inKey)
            return "set it at " + std::string(pathPattern(entry.user));
        if (isAllowed(entry, inKind))
            candidates.push_back(entry.definition.key);
    }
    const std::string_view nearest = nearestName(inKey, candidates);
    if (!nearest.empty())
        return "did you mean \"" + std::string(nearest) + "\"?";
    return candidates.empty() ? "remove it" : "remove it, or see SETTINGS.md for the known keys";
}

} // namespace corneltally::settings
