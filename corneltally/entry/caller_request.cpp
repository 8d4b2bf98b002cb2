#include "corneltally/entry/caller_request.h"

#include "corneltally/core/digest.h"
#include "corneltally/settings/settings_index.h"

#include <algorithm>
#include <array>
#include <optional>

#include <nlohmann/json.hpp>
#include <strings.h>

namespace corneltally::entry {

namespace {

using nlohmann::json;

constexpr double cBytesPerToken = 4;
constexpr std::string_view cCompletionsPath = "/v1/completions";
constexpr std::string_view cChatPath = "/v1/chat/completions";

/// Maximum nesting depth of a body. Serializing a JSON value is recursive, so that an unbounded
/// depth would exhaust the stack.
constexpr int cMaxDepth = 64;

/// The parsed text, or a discarded value if it is not JSON or nested too deeply.
json parseBounded(std::string_view inText)
{
    bool tooDeep = false;
    const auto limitDepth = [&](int inDepth, json::parse_event_t, json &) {
        tooDeep = tooDeep || inDepth > cMaxDepth;
        return inDepth <= cMaxDepth;
    };
    json parsed = json::parse(inText, limitDepth, false);
    return tooDeep ? json(json::value_t::discarded) : parsed;
}

core::error invalidRequest(std::string inMessage, std::string inRemedy)
{
    return {core::error_kind::invalid_request, std::move(inMessage), std::move(inRemedy)};
}

core::error bodyTooLong(std::size_t inLimit)
{
    return invalidRequest("the body is longer than " + std::to_string(inLimit) + " bytes",
                          "send a shorter request");
}

double estimateTokens(std::size_t inBytes)
{
    return std::max(1.0, static_cast<double>(inBytes) / cBytesPerToken);
}

/// Whether a text contains the key, literally or with JSON escapes.
bool containsKey(std::string_view inText, std::string_view inKey)
{
    if (inKey.empty())
        return false;
    if (inText.find(inKey) != std::string_view::npos)
        return true;
    if (inText.find('\\') == std::string_view::npos)
        return false;
    const json parsed = parseBounded(inText);
    return !parsed.is_discarded()
        && parsed.dump(-1, ' ', false, json::error_handler_t::replace).find(inKey)
        != std::string::npos;
}

std::optional<core::error> checkKeyNotRepeated(const received_request &inRequest)
{
    const std::string_view key = bearerKey(inRequest.headers);
    if (!containsKey(inRequest.body, key)
        && !containsKey(http::findHeader(inRequest.headers, "Content-Type"), key))
        return std::nullopt;
    return invalidRequest("the request repeats the key outside of the Authorization header",
                          "send the key in the Authorization header only");
}

/// Bytes of the texts in a message's content: a string, or an array of parts with texts.
std::optional<std::size_t> contentBytes(const json &inContent)
{
    if (inContent.is_string())
        return inContent.get_ref<const std::string &>().size();
    if (!inContent.is_array())
        return std::nullopt;
    std::size_t bytes = 0;
    for (const json &part : inContent) {
        if (part.is_string())
            bytes += part.get_ref<const std::string &>().size();
        else if (part.is_object() && part.contains("text") && part["text"].is_string())
            bytes += part["text"].get_ref<const std::string &>().size();
        else
            return std::nullopt;
    }
    return bytes;
}

core::result<std::size_t> promptBytes(const json &inBody)
{
    if (inBody.contains("messages")) {
        const json &messages = inBody["messages"];
        if (!messages.is_array() || messages.empty())
            return invalidRequest("\"messages\" is not a list with at least one message",
                                  "send a list of objects with \"role\" and \"content\"");
        std::size_t bytes = 0;
        for (const json &message : messages) {
            const bool named = message.is_object() && message.contains("role")
                && message["role"].is_string() && message.contains("content");
            const std::optional<std::size_t> content
                = named ? contentBytes(message["content"]) : std::nullopt;
            if (!content)
                return invalidRequest("a message has no \"role\" or no text in \"content\"",
                                      "send a list of objects with \"role\" and \"content\"");
            bytes += *content;
        }
        return bytes;
    }
    if (!inBody.contains("prompt"))
        return invalidRequest(
            "the body has neither \"prompt\" nor \"messages\"",
            "send \"prompt\" for completions or \"messages\" for chat completions");
    const std::optional<std::size_t> bytes = contentBytes(inBody["prompt"]);
    if (!bytes)
        return invalidRequest("\"prompt\" is neither a string nor a list of strings",
                              "send a string or a list of strings");
    return *bytes;
}

core::result<long long> maxTokens(const json &inBody)
{
    const auto found = inBody.find("max_tokens");
    if (found == inBody.end() || found->is_null())
        return cDefaultMaxTokens;
    if (!found->is_number_integer() || found->get<long long>() < 1
        || found->get<long long>() > cGreatestMaxTokens)
        return invalidRequest("\"max_tokens\" is not a whole number from 1 to "
                                  + std::to_string(cGreatestMaxTokens),
                              "send a number in this range or leave it out");
    return found->get<long long>();
}

core::result<bool> wantsStream(const json &inBody)
{
    const auto found = inBody.find("stream");
    if (found == inBody.end() || found->is_null())
        return false;
    if (!found->is_boolean())
        return invalidRequest("\"stream\" is neither true nor false", "send true or false");
    return found->get<bool>();
}

/// Resolves the model name of a body, "adapter" or "adapter@version", to an adapter.
core::result<settings::adapter_view> findAdapter(const settings::settings_index &inSettingsIndex,
                                                 const json &inBody)
{
    const auto found = inBody.find("model");
    if (found == inBody.end() || !found->is_string()
        || found->get_ref<const std::string &>().empty())
        return invalidRequest("\"model\" is missing or not a string",
                              "name an adapter of GET /v1/models, for example \"adapter\" or "
                              "\"adapter@version\"");
    const std::string_view model = found->get_ref<const std::string &>();
    const std::size_t at = model.rfind('@');
    const std::string_view name = model.substr(0, at);
    const settings::adapter_view *adapter = inSettingsIndex.findAdapter(name);
    if (adapter == nullptr)
        return core::error{core::error_kind::not_found, "the adapter does not exist",
                           "name an adapter of GET /v1/models"};
    if (at != std::string_view::npos && model.substr(at + 1) != adapter->version)
        return core::error{core::error_kind::not_found,
                           "the adapter is served in another version: " + adapter->version,
                           "name this version, or the adapter without a version"};
    return *adapter;
}

core::result<run> buildModelRun(const settings::settings_index &inSettingsIndex,
                                const received_request &inRequest, run inBase)
{
    if (inRequest.method != "POST")
        return invalidRequest("the route accepts POST only", "send the request with POST");
    json body = parseBounded(inRequest.body);
    if (!body.is_object())
        return invalidRequest("the body is not a JSON object", "send a JSON object");
    const core::result<settings::adapter_view> adapter = findAdapter(inSettingsIndex, body);
    if (!adapter)
        return adapter.reason();
    const core::result<std::size_t> bytes = promptBytes(body);
    if (!bytes)
        return bytes.reason();
    const core::result<long long> limit = maxTokens(body);
    if (!limit)
        return limit.reason();
    const core::result<bool> stream = wantsStream(body);
    if (!stream)
        return stream.reason();

    body["model"] = adapter->name + "@" + adapter->version;
    body["max_tokens"] = *limit;
    body["stream"] = *stream;
    inBase.adapter = adapter->name;
    inBase.version = adapter->version;
    inBase.baseModel = adapter->baseModel;
    inBase.path = body.contains("messages") ? cChatPath : cCompletionsPath;
    inBase.contentType = "application/json";
    inBase.promptTokens = estimateTokens(*bytes);
    inBase.maxTokens = static_cast<double>(*limit);
    inBase.stream = *stream;
    // This cannot fail, since the parser rejects invalid UTF-8.
    inBase.body = body.dump();
    // Serializing the body again may lengthen its numbers.
    if (inBase.body.size() > cMaxCallerBodyBytes)
        return bodyTooLong(cMaxCallerBodyBytes);
    return inBase;
}

core::result<run> buildServiceRun(const received_request &inRequest, run inBase)
{
    static constexpr std::array<std::string_view, 5> cMethods{"GET", "POST", "PUT", "DELETE",
                                                              "PATCH"};
    if (std::ranges::find(cMethods, inRequest.method) == cMethods.end())
        return invalidRequest("the route does not accept this method",
                              "send the request with POST");
    // The query is not passed on, since it could contain credentials.
    inBase.path = inRequest.path;
    inBase.contentType = http::findHeader(inRequest.headers, "Content-Type");
    inBase.body = inRequest.body;
    inBase.promptTokens = estimateTokens(inRequest.body.size());
    return inBase;
}

} // namespace

std::string_view bearerKey(const http::header_list &inHeaders)
{
    static constexpr std::string_view cScheme = "Bearer ";
    std::string_view value = http::findHeader(inHeaders, "Authorization");
    if (value.size() <= cScheme.size()
        || strncasecmp(value.data(), cScheme.data(), cScheme.size()) != 0)
        return {};
    value.remove_prefix(cScheme.size());
    while (value.starts_with(' '))
        value.remove_prefix(1);
    while (value.ends_with(' '))
        value.remove_suffix(1);
    return value;
}

core::result<caller_identity> identifyCaller(const settings::settings_index &inSettingsIndex,
                                             const settings::route_view &inRoute,
                                             const http::header_list &inHeaders)
{
    if (inRoute.open)
        return caller_identity{};
    const std::string_view key = bearerKey(inHeaders);
    if (key.empty())
        return core::error{core::error_kind::unauthorized, "the request has no key",
                           "send the header Authorization: Bearer <key>"};
    std::string digest = core::sha256Hex(key);
    const settings::key_view *found = inSettingsIndex.findKey(digest);
    if (found == nullptr || found->withdrawn
        || inSettingsIndex.findAccount(found->account) == nullptr)
        return core::error{core::error_kind::unauthorized, "the key is not known or was withdrawn",
                           "use a valid key"};
    if (!inRoute.accounts.empty()
        && std::ranges::find(inRoute.accounts, found->account) == inRoute.accounts.end())
        return core::error{core::error_kind::forbidden, "the client account may not use this route",
                           "ask the operator for access to the route"};
    return caller_identity{.account = found->account, .keyDigest = std::move(digest)};
}

core::result<run> buildRun(const settings::settings_index &inSettingsIndex,
                           const settings::route_view &inRoute, const received_request &inRequest,
                           std::size_t inMaxBodyBytes)
{
    const std::size_t limit = std::min(inMaxBodyBytes, cMaxCallerBodyBytes);
    if (inRequest.body.size() > limit)
        return bodyTooLong(limit);
    if (const std::optional<core::error> repeated = checkKeyNotRepeated(inRequest))
        return *repeated;
    run base{.route = inRoute.name,
             .kind = inRoute.kind,
             .method = std::string(inRequest.method),
             .repeatable = inRoute.repeatable,
             .trafficClass = inRoute.trafficClass,
             .streamIdle = inRoute.streamIdle};
    return inRoute.kind == settings::endpoint_kind::model
        ? buildModelRun(inSettingsIndex, inRequest, std::move(base))
        : buildServiceRun(inRequest, std::move(base));
}

std::string claimKeyOf(std::string_view inAccount, std::string_view inRoute,
                       std::string_view inIdempotencyKey)
{
    // The lengths keep different triples from producing the same text.
    std::string text = std::to_string(inAccount.size()) + "," + std::to_string(inRoute.size());
    text.append(":").append(inAccount).append(inRoute).append(inIdempotencyKey);
    return core::sha256Hex(text);
}

std::string requestDigestOf(const received_request &inRequest)
{
    std::string text(inRequest.method);
    text.append("\n").append(inRequest.path).append("\n").append(inRequest.body);
    return core::sha256Hex(text);
}

} // namespace corneltally::entry
