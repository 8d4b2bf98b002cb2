#include "corneltally/forwarding/event_splitter.h"

#include <algorithm>

namespace corneltally::forwarding {

namespace {

constexpr std::string_view cPlainEnd = "\n\n";
constexpr std::string_view cCarriageEnd = "\r\n\r\n";

/// Offset after the blank line that ends the first event; npos if no event is complete. No event
/// ends before inSearched bytes.
std::size_t endOfEvent(std::string_view inText, std::size_t inSearched)
{
    const std::size_t from = inSearched - std::min(inSearched, cCarriageEnd.size() - 1);
    const std::size_t plain = inText.find(cPlainEnd, from);
    const std::size_t carriage = inText.find(cCarriageEnd, from);
    const std::size_t plainEnd = plain == std::string_view::npos ? plain : plain + cPlainEnd.size();
    const std::size_t carriageEnd
        = carriage == std::string_view::npos ? carriage : carriage + cCarriageEnd.size();
    return std::min(plainEnd, carriageEnd);
}

std::string idOf(std::string_view inEvent)
{
    while (!inEvent.empty()) {
        const std::size_t end = inEvent.find('\n');
        std::string_view line = inEvent.substr(0, end);
        inEvent = end == std::string_view::npos ? std::string_view() : inEvent.substr(end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return std::string(line);
    }
    return {};
}

} // namespace

std::vector<event_splitter::event> event_splitter::append(std::string_view inBytes)
{
    std::size_t searched = mRemainder.size();
    mRemainder.append(inBytes);
    std::vector<event> events;
    std::size_t start = 0;
    while (true) {
        const std::string_view text = std::string_view(mRemainder).substr(start);
        const std::size_t end = endOfEvent(text, searched);
        if (end == std::string_view::npos)
            break;
        events.push_back({std::string(text.substr(0, end)), idOf(text.substr(0, end))});
        start += end;
        searched = 0;
    }
    mRemainder.erase(0, start);
    return events;
}

} // namespace corneltally::forwarding
