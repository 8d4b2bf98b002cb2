#include "corneltally/endpoint/event_stream_parser.h"

#include <utility>

namespace corneltally::endpoint {

std::vector<std::string> event_stream_parser::feed(std::string_view inData)
{
    std::vector<std::string> events;
    for (const char character : inData) {
        // Lines may end with CR LF.
        if (character == '\r')
            continue;
        if (character != '\n' || mPending.empty() || mPending.back() != '\n') {
            if (character != '\n' || !mPending.empty())
                mPending.push_back(character);
            continue;
        }
        mPending.pop_back();
        if (mPending == "data: [DONE]" || mPending == "data:[DONE]")
            mDone = true;
        else if (!mPending.starts_with(':'))
            events.push_back(mPending);
        mPending.clear();
    }
    return events;
}

} // namespace corneltally::endpoint
