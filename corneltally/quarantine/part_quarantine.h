#pragma once

#include "corneltally/quarantine/part_change.h"
#include "corneltally/quarantine/quarantine_state.h"
#include "corneltally/quarantine/shared_part.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace corneltally::quarantine {

struct quarantine_options
{
    /// Number of lost endpoints after which a part is quarantined if none of its requests was
    /// answered since the first.
    int maxLosses = 3;
    /// Losses closer together than this count once: they may have a common cause, such as the
    /// failure of a whole domain.
    core::duration lossSeparation = std::chrono::milliseconds(150);
    /// Minimum time from the first of these losses to the quarantine. Answers that other
    /// instances received are known within half of it.
    core::duration settleTime = std::chrono::seconds(1);
    /// Time from a quarantine to its first probe; it doubles with each failed one.
    core::duration firstHold = std::chrono::seconds(60);
    core::duration maxHold = std::chrono::hours(1);
    /// Time to the first probe of a part if another part in quarantine may be the cause instead.
    core::duration ambiguousHold = std::chrono::seconds(10);
    /// A probe that has neither an answer nor a loss for this long is given up.
    core::duration probeTimeout = std::chrono::seconds(30);
    /// Losses, and quarantines after their hold, are forgotten after this time.
    core::duration retention = std::chrono::minutes(10);
    /// An answer is remembered for this long.
    core::duration answerRetention = std::chrono::minutes(1);
    /// Own observations are repeated to other instances for this long.
    core::duration reportTime = std::chrono::seconds(2);
    std::size_t maxCandidates = 4096;
    std::size_t maxAnswers = 16384;
    std::size_t maxQuarantined = 256;
};

/// Finds the prompt parts and the whole requests that crash each endpoint which begins to answer
/// them, and quarantines them.
///
/// An endpoint that crashes loses all its requests, so each of their parts may be the cause. An
/// answer to a request with a part shows that the part is harmless. The parts of which no request
/// is answered while endpoint after endpoint is lost remain. Of these, the one with the most losses
/// is quarantined, or the one that follows it in its prompts if that has been lost as often: it
/// refuses fewer requests. Its losses are then explained and count against no other part; if it was
/// not the cause, further losses follow and show the one that was. A loss does not count if the
/// same start of the endpoint answers later: then only a connection broke. The instance that
/// decided on a quarantine ends it if it learns of an answer that leaves too few of the losses.
///
/// A whole request is the last link of its chain of parts, so it is quarantined in place of its
/// parts if it was lost as often as they were. Since this refuses nothing but its repeats, all
/// requests with enough losses are quarantined together.
///
/// Pure logic without clock or network. Instances exchange quarantine_state, so that each decides
/// on what all of them observe.
class part_quarantine
{
public:
    enum class admission {
        /// No part is in quarantine.
        allowed,
        /// The request tests a part whose hold is over; probeStarted() must follow if it is sent.
        probe,
        /// A part is in quarantine.
        refused,
        /// The request itself is in quarantine or about to be.
        request_refused,
    };

    explicit part_quarantine(std::string inInstance, quarantine_options inOptions = {});

    /// Sets the live instances, among which the one that probes a part is chosen.
    void setLive(std::set<std::string> inLive) { mLive = std::move(inLive); }

    /// Records that an endpoint ended the connection of a request which it may have crashed on.
    void endpointLost(start_digest inStart, const std::vector<shared_part> &inParts,
                      core::time_point inNow);

    /// Records an answer that shows that a request did not crash the endpoint: a complete one, or
    /// events for some time after the first.
    void answered(start_digest inStart, const std::vector<shared_part> &inParts,
                  core::time_point inSentAt, core::time_point inNow);

    /// The same for a request whose endpoint was lost later.
    void partsAnswered(const std::vector<shared_part> &inParts, core::time_point inNow);

    /// Adds what another instance or failure domain reported.
    void applyPeer(const quarantine_state &inState, core::time_point inNow);

    /// An instance does not repeat a request by itself that would be refused after one more loss,
    /// nor one with a part that the next update puts in quarantine.
    admission admit(const std::vector<shared_part> &inParts, core::time_point inNow,
                    bool inIsRepeat = false) const;
    void probeStarted(const std::vector<shared_part> &inParts, core::time_point inNow);

    /// Time until the parts may be free again; zero if none is in quarantine.
    core::duration holdLeft(const std::vector<shared_part> &inParts, core::time_point inNow) const;

    /// Decides on the evidence and drops old state. Returns the changes since the last call. Call
    /// several times a second.
    std::vector<part_change> update(core::time_point inNow);

    /// Recent observations and all quarantines, for the other instances.
    quarantine_state report() const;

    std::size_t candidates() const { return mCandidates.size(); }
    std::size_t quarantined() const;

private:
    struct loss
    {
        start_digest start = 0;
        core::time_point at;
    };
    /// Losses since the last answer to a request with the part, in the order of their times.
    struct candidate
    {
        std::string id;
        part_digest parent = 0;
        std::vector<loss> losses;
    };
    struct disproof
    {
        core::time_point answeredAt;
        core::time_point notedAt;
    };
    /// Number of losses in the order of their times, and how many of them are apart in time.
    struct loss_count
    {
        int all = 0;
        int separate = 0;
        core::time_point first;
        core::time_point lastSeparate;

        void add(core::time_point inAt, core::duration inSeparation);
    };
    struct evidence
    {
        /// Losses that nothing in quarantine explains.
        loss_count unexplained;
        /// These, and those that only requests with the part explain: the part may be what makes
        /// the requests crash endpoints.
        loss_count withRequests;
    };
    /// Starts of endpoints whose loss is explained by a part in quarantine, and by whole requests
    /// in quarantine with a part.
    struct explanations
    {
        std::unordered_set<start_digest> byParts;
        std::unordered_set<start_digest> byRequests;
        std::unordered_map<part_digest, std::unordered_set<start_digest>> byRequestsWith;
    };
    /// A quarantine that this instance decided on losses.
    struct decision
    {
        std::uint32_t round = 0;
        core::time_point firstLoss;
    };

    candidate *addLoss(start_digest inStart, part_digest inPart, part_digest inParent,
                       core::time_point inAt, core::time_point inNow);
    void addAnswer(std::uint64_t inSubject, core::time_point inAt, core::time_point inNow);
    bool isDisproved(std::uint64_t inSubject, core::time_point inAt, core::time_point inNow);
    evidence weigh(part_digest inPart, const candidate &inCandidate) const;
    bool isEnough(part_digest inPart, const evidence &inEvidence, core::time_point inNow) const;
    const quarantined_part *findQuarantine(part_digest inPart) const;
    bool isProber(part_digest inPart) const;
    bool isAmbiguous(part_digest inPart) const;
    bool mayProbe(part_digest inPart, const quarantined_part &inState,
                  core::time_point inNow) const;
    bool isNextSuspect(const std::vector<shared_part> &inParts, core::time_point inNow) const;
    void decide(core::time_point inNow);
    std::optional<part_digest> mostSuspect(core::time_point inNow) const;
    std::vector<part_digest> suspectRequests(core::time_point inNow) const;
    part_digest deepestSuspect(part_digest inPart, core::time_point inNow) const;
    bool isDecisionRefuted(part_digest inPart, const quarantined_part &inState) const;
    void findExplained();
    void clearSubsumed(part_digest inPart, core::time_point inNow);
    void quarantine(part_digest inPart, const evidence &inEvidence, core::time_point inNow);
    void clear(part_digest inPart, core::time_point inNow);
    void addChange(part_change::kind inKind, part_digest inPart, const evidence &inEvidence,
                   core::time_point inNow);
    void dropOld(core::time_point inNow);

    std::string mInstance;
    quarantine_options mOptions;
    std::set<std::string> mLive;
    std::unordered_map<part_digest, candidate> mCandidates;
    /// Starts of endpoints that mCandidates refers to, with the time of the loss.
    std::unordered_map<start_digest, core::time_point> mLostStarts;
    explanations mExplained;
    /// Last answers by the digests of parts and of starts of endpoints.
    std::unordered_map<std::uint64_t, core::time_point> mAnswers;
    /// Answers that disproved losses, which are still reported to other instances.
    std::unordered_map<std::uint64_t, disproof> mDisproofs;
    /// Parts in quarantine, and those that were cleared lately.
    std::map<part_digest, quarantined_part> mParts;
    /// Own decisions behind quarantines, as long as these last.
    std::unordered_map<part_digest, decision> mDecisions;
    /// Running probes, with the times of their starts.
    std::unordered_map<part_digest, core::time_point> mProbes;
    /// Parts whose probes lost an endpoint since the last update.
    std::set<part_digest> mFailedProbes;
    /// Own observations that are still reported.
    std::map<start_digest, endpoint_loss> mOwnLosses;
    std::vector<part_change> mChanges;
};

} // namespace corneltally::quarantine
