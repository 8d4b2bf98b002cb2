#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/endpoint_table.h"
#include "corneltally/routing/request_terms.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corneltally::engines {

/// Constants of the estimate of the time to the first event.
struct choice_options
{
    /// Prompt tokens that an engine reads in a millisecond (deployment sheets: 38 to 41).
    double promptTokensPerMs = 40;
    /// Part by which the steps that read a prompt take longer, since each also makes a token of the
    /// running answers (deployment sheets: 5 ms beside the 50 ms that 2,048 tokens take).
    double stepOverhead = 0.12;
    /// Time for a million pairs of a token that is read and one before it (deployment sheets:
    /// 0.49).
    double prefillMsPerMillionPairs = 0.49;
    /// Cost of a long answer at an engine whose pauses are longer than the route allows. Such an
    /// answer is late, which loses two thirds of its worth on the deployment sheets.
    core::duration pausePenalty = std::chrono::milliseconds(600);
    /// An answer that takes this long meets the reading of another prompt for certain.
    core::duration pauseExposure = std::chrono::milliseconds(1000);
    /// Time of a token of an answer (deployment sheets: 5 ms and more a step).
    core::duration answerToken = std::chrono::milliseconds(8);
    /// Cost of reading a prompt of this size beside another answer at such an engine.
    double pausingPromptTokens = 8'000;
    core::duration concurrentPenalty = std::chrono::milliseconds(60);
    /// Bound of the factor by which an engine counts as slower than the typical one.
    double maxSlowness = 3;
    /// Time to load an adapter (deployment sheets: 250 ms).
    core::duration adapterLoad = std::chrono::milliseconds(250);
    /// Part of it for an adapter that the engine held lately (platform's pages: a tenth).
    double warmLoad = 0.1;
    /// Worth of a load from the store, as time that a request may wait instead: the deployment
    /// sheets price a load at about a quarter of a request.
    core::duration coldPenalty = std::chrono::milliseconds(150);
    /// Expected wait for a place at an engine whose adapters are all in use, for each adapter that
    /// waits. Requests run for one to three seconds at an engine with eight places.
    core::duration slotWait = std::chrono::milliseconds(350);
    /// Cost of leaving the own failure domain: delay and the price of the bytes.
    core::duration domainPenalty = std::chrono::milliseconds(5);
    /// Cost of each place that an engine stands behind the preferred one for an adapter that has to
    /// be loaded. It keeps the instances' choices together while engines are equally loaded.
    core::duration rankPenalty = std::chrono::milliseconds(20);
    /// A part of a prompt counts as kept by an engine for this long after its last use.
    core::duration maxPartAge = std::chrono::seconds(15);
    /// Weight below which an unhealthy endpoint's estimate grows no further.
    double minHealth = 0.1;
};

/// A request that needs an endpoint.
struct work_request
{
    std::string service;
    /// Tokens that an engine of the service can hold; zero for plain services.
    double engineMemory = 0;
    int engineBatch = 0;
    int adapterSlots = 0;
    std::string model;
    std::string adapter;
    /// Oldest version of the adapter that may serve.
    std::uint64_t version = 0;
    double promptTokens = 0;
    double answerTokens = 0;
    /// Tokens that the caller expects of the answer; zero if it did not say.
    double expectedTokens = 0;
    /// Longest pause between events with which an answer is not late; zero if there is no bound.
    core::duration targetPause{};
    std::vector<routing::prompt_part> parts;
    /// Endpoints that must not get the request.
    std::set<std::string> excluded;
};

/// An endpoint for a request.
struct endpoint_choice
{
    enum class readiness {
        /// The request can be sent now.
        ready,
        /// Its adapter is on its way.
        arriving,
        /// Its adapter has to be ordered first.
        to_load,
    };

    std::string endpoint;
    readiness state = readiness::ready;
    /// When the adapter is there, if it is on its way.
    core::time_point readyAt;
    /// Estimated time to the first event or answer.
    core::duration estimate{};
};

/// Names under which the shared parts of a request are kept, the longest chain last. The part that
/// belongs to the request itself is left out.
std::vector<std::string> sharedPartNames(const work_request &inRequest);

/// Chooses the endpoint with the least estimated time to the first event; nothing if no endpoint
/// can serve the request.
std::optional<endpoint_choice> chooseEndpoint(endpoint_table &ioTable,
                                              const work_request &inRequest,
                                              const std::string &inFailureDomain,
                                              const choice_options &inOptions,
                                              core::time_point inNow);

} // namespace corneltally::engines
