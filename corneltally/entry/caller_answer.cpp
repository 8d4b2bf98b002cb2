#include "corneltally/entry/caller_answer.h"

#include "corneltally/core/json_log.h"
#include "corneltally/settings/settings_index.h"

#include <algorithm>
#include <vector>

namespace corneltally::entry {

std::string modelListBody(const settings::settings_index &inSettingsIndex)
{
    std::vector<const settings::adapter_view *> adapters;
    adapters.reserve(inSettingsIndex.adapterCount());
    inSettingsIndex.forEachAdapter(
        [&adapters](const settings::adapter_view &inAdapter) { adapters.push_back(&inAdapter); });
    std::ranges::sort(adapters, {}, &settings::adapter_view::name);
    std::string text = "{\"object\":\"list\",\"data\":[";
    for (const settings::adapter_view *adapter : adapters) {
        text.append(text.ends_with('[') ? "" : ",").append("{\"id\":\"");
        text.append(core::jsonEscape(adapter->name))
            .append("\",\"object\":\"model\",\"version\":\"");
        text.append(core::jsonEscape(adapter->version)).append("\"}");
    }
    return text.append("]}");
}

std::string errorBody(const caller_error &inError, std::string_view inRequestId)
{
    std::string text = "{\"error\":{\"type\":\"";
    text.append(core::toString(inError.error.kind));
    text.append("\",\"message\":\"").append(core::jsonEscape(inError.error.message));
    text.append("\",\"run\":\"").append(inError.mayHaveRun ? "unknown" : "not_run");
    text.append("\",\"remedy\":\"").append(core::jsonEscape(inError.error.remedy));
    text.append("\",\"request_id\":\"").append(core::jsonEscape(inRequestId));
    return text.append("\"}}");
}

bool carriesRetryAfter(int inStatus)
{
    return inStatus == 429 || inStatus == 503;
}

std::string streamEvent(std::string_view inData)
{
    // A part is either the data of an event or the whole event with its field names.
    std::string text;
    if (!inData.starts_with("data:") && !inData.starts_with("event:") && !inData.starts_with("id:"))
        text = "data: ";
    text.append(inData);
    while (text.ends_with('\n') || text.ends_with('\r'))
        text.pop_back();
    return text.append("\n\n");
}

} // namespace corneltally::entry
