#pragma once

#include "platform/names.h"
#include "standins/site.h"

#include <cerrno>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

/// A request of a caller; the defaults make a proper one.
struct caller_request
{
    std::string path = "/look/1";
    std::string id;
    std::string key = "key-harbour";
    std::string adapter;
    std::string parts;
    /// The last part of the prompt, which belongs to the request alone.
    std::string ownPart = "own:10";
    std::string body;
    int deadlineMs = 5000;
    std::string instance = "edge-1";
    std::chrono::milliseconds timeout = std::chrono::seconds(20);
};

struct site_fixture
{
    standins::site fleet;
    int requests = 0;

    explicit site_fixture(standins::site_options inOptions = {})
        : fleet(withFolders(std::move(inOptions)))
    {
        REQUIRE(fleet.start());
    }

    static standins::site_options withFolders(standins::site_options inOptions)
    {
        static int sCount = 0;
        inOptions.binaries = CORNELTALLY_BINARY_DIR;
        inOptions.folder = std::string(CORNELTALLY_BINARY_DIR) + "/" + program_invocation_short_name
            + "." + std::to_string(++sCount);
        return inOptions;
    }

    corneltally::http::call_request makeCall(caller_request inRequest)
    {
        if (inRequest.id.empty())
            inRequest.id = "request-" + std::to_string(++requests);
        corneltally::http::call_request call{
            .target = {"127.0.0.1", fleet.process(inRequest.instance).port("callers")},
            .method = "POST",
            .path = inRequest.path,
            .body = inRequest.body.empty() ? "body of " + inRequest.id : inRequest.body,
            .timeout = inRequest.timeout};
        call.headers = {{"Host", standins::site::cHost},
                        {std::string(corneltally::platform::cRequestIdField), inRequest.id},
                        {std::string(corneltally::platform::cAuthorizationField),
                         std::string(corneltally::platform::cAuthorizationScheme) + inRequest.key},
                        {std::string(corneltally::platform::cTenantField), "forged"},
                        {std::string(corneltally::platform::cDeadlineField),
                         std::to_string(inRequest.deadlineMs)}};
        if (!inRequest.adapter.empty()) {
            call.headers.emplace_back(std::string(corneltally::platform::cModelField),
                                      std::string(standins::site::cModel) + "/"
                                          + inRequest.adapter);
            call.headers.emplace_back(std::string(corneltally::platform::cTokenCountField),
                                      "100,20");
        }
        if (!inRequest.parts.empty())
            call.headers.emplace_back(std::string(corneltally::platform::cPromptPrefixField),
                                      inRequest.parts + "," + inRequest.ownPart);
        return call;
    }

    corneltally::http::response call(caller_request inRequest = {})
    {
        return fleet.probe().call(makeCall(std::move(inRequest)));
    }

    std::vector<nlohmann::json> runsOf(const std::string &inId) const
    {
        std::vector<nlohmann::json> runs = fleet.facts("run");
        std::erase_if(runs,
                      [&](const nlohmann::json &inRun) { return inRun.at("request") != inId; });
        return runs;
    }

    void faultOnAll(const std::string &inPrefix, const nlohmann::json &inFaults)
    {
        for (const std::string &name : fleet.names(inPrefix))
            REQUIRE(fleet.setFaults(name, inFaults));
    }
};

/// The events that an engine writes for a request.
inline std::string wholeStream(const std::string &inId, int inEvents = 6)
{
    std::string text;
    for (int event = 1; event <= inEvents; ++event)
        text += "id: " + std::to_string(event) + "\ndata: " + inId + " " + std::to_string(event)
            + "/" + std::to_string(inEvents) + "\n\n";
    return text;
}

/// Whether a status tells callers that the request has not run.
inline bool promisesNotRun(int inStatus)
{
    return inStatus == 429 || inStatus == 503;
}
