#include "standins/answer_verifier.h"

#include <vector>

#include <nlohmann/json.hpp>

namespace standins {

using nlohmann::json;

namespace {

constexpr std::string_view cData = "data:";

std::vector<std::string_view> split(std::string_view inText, char inSeparator)
{
    std::vector<std::string_view> parts;
    std::size_t start = 0;
    for (std::size_t end = inText.find(inSeparator); end != std::string_view::npos;
         end = inText.find(inSeparator, start)) {
        parts.push_back(inText.substr(start, end - start));
        start = end + 1;
    }
    parts.push_back(inText.substr(start));
    return parts;
}

/// Text of the first choice of an event or an answer; empty if there is none.
std::string choiceText(const json &inAnswer)
{
    const auto choices = inAnswer.find("choices");
    if (choices == inAnswer.end() || !choices->is_array() || choices->empty())
        return {};
    const json &choice = choices->at(0);
    for (const char *part : {"delta", "message"}) {
        if (choice.contains(part))
            return choice.at(part).value("content", std::string());
    }
    return choice.value("text", std::string());
}

} // namespace

answer_verifier::answer_verifier(const planned_call &inCall)
    : mCall(inCall)
    , mModel(inCall.adapter + "@" + inCall.version)
{ }

void answer_verifier::setHead(int inStatus, std::string_view inRequestId)
{
    mStatus = inStatus;
    mRequestId = inRequestId;
}

void answer_verifier::addData(std::string_view inData)
{
    mBuffer.append(inData);
    if (mStatus != 200 || !mCall.kind->isModel() || !mCall.kind->streamed)
        return;
    std::size_t start = 0;
    for (std::size_t end = mBuffer.find("\n\n"); end != std::string::npos;
         end = mBuffer.find("\n\n", start)) {
        takeEvent(std::string_view(mBuffer).substr(start, end - start));
        start = end + 2;
    }
    mBuffer.erase(0, start);
}

void answer_verifier::finish()
{
    if (mStatus != 200) {
        const json body = json::parse(mBuffer, nullptr, false);
        if (body.is_object() && body.contains("error"))
            takeError(body.at("error"));
    } else if (mCall.kind->isModel()) {
        finishModelAnswer();
    } else {
        finishServiceAnswer();
    }
}

void answer_verifier::takeEvent(std::string_view inEvent)
{
    if (!inEvent.starts_with(cData)) {
        report("an event without data");
        return;
    }
    inEvent.remove_prefix(cData.size());
    if (inEvent.starts_with(' '))
        inEvent.remove_prefix(1);
    if (inEvent == "[DONE]") {
        mDoneSeen = true;
        return;
    }
    const json event = json::parse(inEvent, nullptr, false);
    if (!event.is_object())
        report("an event that is not JSON");
    else if (event.contains("error"))
        takeError(event.at("error"));
    else
        takeText(choiceText(event));
}

void answer_verifier::takeText(std::string_view inText)
{
    if (!inText.empty() && !inText.ends_with(';')) {
        report("a token is cut off");
        return;
    }
    for (const std::string_view token : split(inText, ';')) {
        if (!token.empty())
            takeToken(token);
    }
}

void answer_verifier::takeToken(std::string_view inToken)
{
    const std::vector<std::string_view> parts = split(inToken, ' ');
    if (parts.size() != 4) {
        report("a token of unknown form");
        return;
    }
    if (mRunId.empty())
        mRunId = parts[1];
    if (parts[0] != mModel)
        report("ran on " + std::string(parts[0]) + " in place of " + mModel);
    else if (parts[1] != mRunId)
        report("tokens of two runs: " + mRunId + " and " + std::string(parts[1]));
    else if (parts[3] != mCall.user)
        report("a token of call " + std::string(parts[3]));
    else if (parts[2] != std::to_string(mTokens))
        report("token " + std::string(parts[2]) + " in place of " + std::to_string(mTokens));
    ++mTokens;
}

void answer_verifier::finishModelAnswer()
{
    if (!mCall.kind->streamed) {
        const json body = json::parse(mBuffer, nullptr, false);
        if (!body.is_object()) {
            report("the answer is not JSON");
            return;
        }
        takeText(choiceText(body));
        mDoneSeen = true;
    }
    if (mErrorSeen)
        return;
    if (!mDoneSeen)
        report("the stream ended without [DONE] and without an error");
    else if (mTokens != mCall.outputTokens)
        report(std::to_string(mTokens) + " tokens of " + std::to_string(mCall.outputTokens));
    mComplete = mProblem.empty();
}

void answer_verifier::finishServiceAnswer()
{
    const json body = json::parse(mBuffer, nullptr, false);
    if (!body.is_object()) {
        report("the answer is not JSON");
        return;
    }
    const char *name = mCall.kind->kind == call_kind::order ? "order" : "item";
    const json echoed = body.value(name, json());
    if (echoed != mCall.user)
        report("the answer of call " + echoed.dump());
    else if (body.value("path", std::string()) != mCall.kind->path)
        report("the answer of path " + body.value("path", std::string()));
    if (mCall.kind->kind == call_kind::order)
        mReportedRuns = body.value("runs", 0LL);
    mComplete = mProblem.empty();
}

void answer_verifier::takeError(const json &inError)
{
    mErrorSeen = true;
    if (!inError.is_object())
        return;
    mRun = inError.value("run", std::string());
    mError = inError.value("type", std::string());
    mError.append(": ").append(inError.value("message", std::string()));
    if (mRequestId.empty())
        mRequestId = inError.value("request_id", std::string());
}

void answer_verifier::report(std::string inProblem)
{
    if (mProblem.empty())
        mProblem = std::move(inProblem);
}

} // namespace standins
