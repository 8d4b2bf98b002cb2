#include "corneltally/settings/problem.h"

namespace corneltally::settings {

std::string toText(const problem &inProblem)
{
    std::string text = inProblem.file;
    if (inProblem.line > 0)
        text += ":" + std::to_string(inProblem.line);
    text += ": ";
    if (!inProblem.key.empty())
        text += inProblem.key + ": ";
    return text + inProblem.message + "; " + inProblem.remedy;
}

core::error toError(const std::vector<problem> &inProblems)
{
    std::string text;
    for (const problem &entry : inProblems)
        text += (text.empty() ? "" : "\n") + toText(entry);
    return {core::error_kind::invalid_request, text, "correct every listed key and check again"};
}

} // namespace corneltally::settings
