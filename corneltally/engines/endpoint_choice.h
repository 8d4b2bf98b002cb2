#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/endpoint_table.h"
#include "corneltally/routing/allowed_domains.h"
#include "corneltally/routing/request_terms.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corneltally::engines {

/// Parameters of the estimated time to the first event.
struct choice_options
{
    /// Prompt tokens that an engine prefills in a millisecond; engines reach 38 to 41.
    double promptTokensPerMs = 40;
    /// Relative overhead of a prefill step, since each step also generates a token of the running
    /// answers: engines need 5 ms for it in addition to the 50 ms for 2,048 prompt tokens.
    double stepOverhead = 0.12;
    /// Attention time of the prefill, for a million pairs of a token and one before it: engines
    /// need 0.49 ms.
    double prefillMsPerMillionPairs = 0.49;
    /// Cost of a long answer at an engine whose pauses are longer than the route allows. Such an
    /// answer is late and loses two thirds of its value.
    core::duration pausePenalty = std::chrono::milliseconds(600);
    /// An answer that takes this long is certain to overlap with the prefill of another prompt.
    core::duration pauseExposure = std::chrono::milliseconds(1000);
    /// Time to generate a token of an answer; an engine step takes 5 ms or more.
    core::duration answerToken = std::chrono::milliseconds(8);
    /// Cost, for each answer in progress, of the prefill of a prompt of this size at such an
    /// engine.
    double pausingPromptTokens = 8'000;
    core::duration concurrentPenalty = std::chrono::milliseconds(60);
    /// Upper bound of the factor by which an engine counts as slower than the typical one.
    double maxSlowness = 3;
    /// Whether the time of the prefill is scaled by the speed that an engine's answers show, also
    /// to less than the typical time. Otherwise only slow engines are told apart, by their pauses.
    bool learnsSpeed = false;
    /// With learned speeds, prompt tokens waiting at an engine from which their prefill certainly
    /// overlaps with a long answer. With fewer, pauses are as much less likely, but not below the
    /// minimum, since further prompts arrive while the answer runs.
    double overlappingPromptTokens = 4'096;
    double minOverlap = 0.2;
    /// Time to load an adapter from the weight store; engines need 250 ms.
    core::duration adapterLoad = std::chrono::milliseconds(250);
    /// Fraction of that time for a warm adapter; engines need a tenth.
    double warmLoad = 0.1;
    /// Price of a load from the weight store, as time that a request may wait instead: a
    /// load costs about a quarter of a request.
    core::duration coldPenalty = std::chrono::milliseconds(150);
    /// Expected wait for a slot at an engine whose adapters are all in use, for each adapter that
    /// waits. Requests run for one to three seconds at an engine with eight slots.
    core::duration slotWait = std::chrono::milliseconds(350);
    /// Cost of leaving the instance's failure domain: network delay and the price of the traffic.
    core::duration domainPenalty = std::chrono::milliseconds(5);
    /// Cost of each rank that an engine is below the preferred one for an adapter that has to be
    /// loaded. It lets the instances choose the same engine while engines are equally loaded.
    core::duration rankPenalty = std::chrono::milliseconds(20);
    /// Factor by which a cold endpoint counts as slower. Assumed: the platform does not state it.
    double coldSlowness = 2;
    /// Lower bound of the health weight that divides an endpoint's cost.
    double minHealth = 0.1;
};

/// A request that needs an endpoint.
struct work_request
{
    std::string service;
    /// KV cache of an engine of the service, in tokens; zero for plain services.
    double engineMemory = 0;
    int engineBatch = 0;
    int adapterSlots = 0;
    std::string model;
    std::string adapter;
    /// Oldest adapter version that may serve the request.
    std::uint64_t version = 0;
    double promptTokens = 0;
    double answerTokens = 0;
    /// Tokens that the caller expects in the answer; zero if not given.
    double expectedTokens = 0;
    /// Longest pause between events that the route allows; zero if there is no bound.
    core::duration targetPause{};
    /// Time until the first event within which the request is served in time.
    core::duration targetTime{};
    std::vector<routing::prompt_part> parts;
    /// Whether cold endpoints are left out, since permits for them can't be had in time.
    bool avoidsCold = false;
    /// Endpoints that must not receive the request.
    std::set<std::string> excluded;
    /// Failure domains in which the request may run.
    routing::allowed_domains domains = {};
};

/// The endpoint chosen for a request.
struct endpoint_choice
{
    enum class readiness {
        /// The request can be sent now.
        ready,
        /// Its adapter is being loaded.
        arriving,
        /// Its adapter has to be ordered first.
        to_load,
    };

    std::string endpoint;
    readiness state = readiness::ready;
    /// When the adapter is expected to be resident, if it is being loaded.
    core::time_point readyAt;
    /// Estimated time to the first event or answer.
    core::duration estimate{};
    /// Part of it for the prefill, before its correction by the service's answers.
    core::duration prefillEstimate{};
};

/// Digests of the request's shared prompt prefixes, the longest last. The last part, which belongs
/// to the request alone, is left out.
std::vector<std::uint64_t> sharedPrefixes(const work_request &inRequest);

/// Digest of a shared prefix on one start of an endpoint.
prefix_digest prefixOn(const endpoint &inEndpoint, std::uint64_t inSharedPrefix);

/// Ids of the prompt parts that other requests may share, separated by commas, for the log.
std::string sharedPartIds(const work_request &inRequest);

/// Chooses the endpoint with the lowest cost, which is the estimated time to the first event plus
/// penalties; nothing if no endpoint can serve the request.
std::optional<endpoint_choice> chooseEndpoint(endpoint_table &ioTable,
                                              const work_request &inRequest,
                                              const std::string &inFailureDomain,
                                              const choice_options &inOptions,
                                              core::time_point inNow);

} // namespace corneltally::engines
