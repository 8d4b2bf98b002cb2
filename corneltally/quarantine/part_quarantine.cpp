#include "corneltally/quarantine/part_quarantine.h"

#include <algorithm>
#include <utility>

namespace corneltally::quarantine {

namespace {

/// Losses of endpoints that are kept for a part.
constexpr std::size_t cMaxLosses = 16;
/// Minimum losses of a part for it to be suspected in place of the part before it.
constexpr int cMinFollowingLosses = 2;
/// Minimum losses of a part beside those that requests with it explain. The instances learn of a
/// loss one after the other, so one may seem unexplained for a while.
constexpr int cMinFurtherLosses = 2;

/// Removes the entries of lowest rank beyond a maximum number.
template <typename Map, typename RankOf>
void limitSize(Map &ioMap, std::size_t inMaximum, RankOf inRankOf)
{
    if (ioMap.size() <= inMaximum)
        return;
    using rank = decltype(inRankOf(ioMap.begin()->second));
    std::vector<std::pair<rank, typename Map::key_type>> entries;
    entries.reserve(ioMap.size());
    for (const auto &[key, value] : ioMap)
        entries.emplace_back(inRankOf(value), key);
    const auto excess = static_cast<std::ptrdiff_t>(ioMap.size() - inMaximum);
    std::ranges::nth_element(entries, entries.begin() + excess);
    for (auto entry = entries.begin(); entry != entries.begin() + excess; ++entry)
        ioMap.erase(entry->second);
}

} // namespace

part_quarantine::part_quarantine(std::string inInstance, quarantine_options inOptions)
    : mInstance(std::move(inInstance))
    , mOptions(inOptions)
    , mLive{mInstance}
{ }

void part_quarantine::endpointLost(start_digest inStart, const std::vector<shared_part> &inParts,
                                   core::time_point inNow)
{
    if (inParts.empty())
        return;
    // An instance that sees the loss later than another one keeps the earlier time.
    const auto known = mLostStarts.find(inStart);
    const core::time_point at = known == mLostStarts.end() ? inNow : known->second;
    endpoint_loss &own = mOwnLosses.try_emplace(inStart, endpoint_loss{.at = at}).first->second;
    for (const shared_part &part : inParts) {
        own.parts.emplace(part.digest, part.parent);
        if (candidate *entry = addLoss(inStart, part.digest, part.parent, at, inNow))
            entry->id = part.id;
        if (mProbes.erase(part.digest) > 0)
            mFailedProbes.insert(part.digest);
    }
}

void part_quarantine::answered(start_digest inStart, const std::vector<shared_part> &inParts,
                               core::time_point inSentAt, core::time_point inNow)
{
    addAnswer(inStart, inSentAt, inNow);
    partsAnswered(inParts, inNow);
}

void part_quarantine::partsAnswered(const std::vector<shared_part> &inParts, core::time_point inNow)
{
    for (const shared_part &part : inParts) {
        // Nearly all whole requests are seen once, so only the suspected ones are remembered.
        if (isWholeRequest(part.digest) && !mCandidates.contains(part.digest)
            && findQuarantine(part.digest) == nullptr)
            continue;
        addAnswer(part.digest, inNow, inNow);
        mProbes.erase(part.digest);
    }
}

void part_quarantine::applyPeer(const quarantine_state &inState, core::time_point inNow)
{
    for (const auto &[start, loss] : inState.losses) {
        for (const auto &[part, parent] : loss.parts)
            addLoss(start, part, parent, std::min(loss.at, inNow), inNow);
    }
    for (const auto &[subject, at] : inState.answers)
        addAnswer(subject, std::min(at, inNow), inNow);
    for (const auto &[part, state] : inState.parts) {
        if (inNow > state.until + mOptions.retention)
            continue;
        const auto known = mParts.find(part);
        if (known != mParts.end() && !state.isNewerThan(known->second))
            continue;
        const bool wasQuarantined = findQuarantine(part) != nullptr;
        mParts[part] = state;
        if (!state.cleared) {
            addChange(part_change::kind::quarantine_learned, part, {}, inNow);
            clearSubsumed(part, inNow);
        } else if (wasQuarantined)
            addChange(part_change::kind::cleared, part, {}, inNow);
    }
}

/// Whether a request with the part, or to the start of an endpoint, was answered after a loss.
bool part_quarantine::isDisproved(std::uint64_t inSubject, core::time_point inAt,
                                  core::time_point inNow)
{
    const auto answer = mAnswers.find(inSubject);
    if (answer == mAnswers.end() || answer->second <= inAt)
        return false;
    mDisproofs[inSubject] = {answer->second, inNow};
    return true;
}

/// Returns the part's losses, or null if the loss is disproved.
part_quarantine::candidate *part_quarantine::addLoss(start_digest inStart, part_digest inPart,
                                                     part_digest inParent, core::time_point inAt,
                                                     core::time_point inNow)
{
    if (isDisproved(inStart, inAt, inNow) || isDisproved(inPart, inAt, inNow))
        return nullptr;
    candidate &entry = mCandidates[inPart];
    entry.parent = inParent;
    if (std::ranges::find(entry.losses, inStart, &loss::start) != entry.losses.end())
        return &entry;
    const auto place = std::ranges::upper_bound(entry.losses, inAt, {}, &loss::at);
    entry.losses.insert(place, {inStart, inAt});
    if (entry.losses.size() > cMaxLosses)
        entry.losses.erase(entry.losses.begin());
    mLostStarts.try_emplace(inStart, inAt);
    return &entry;
}

void part_quarantine::addAnswer(std::uint64_t inSubject, core::time_point inAt,
                                core::time_point inNow)
{
    core::time_point &last = mAnswers[inSubject];
    if (inAt <= last)
        return;
    last = inAt;
    if (const auto found = mCandidates.find(inSubject); found != mCandidates.end()) {
        mDisproofs[inSubject] = {inAt, inNow};
        std::erase_if(found->second.losses, [&](const loss &inLoss) { return inLoss.at <= inAt; });
        if (found->second.losses.empty())
            mCandidates.erase(found);
    }
    const auto lost = mLostStarts.find(inSubject);
    if (lost == mLostStarts.end() || lost->second >= inAt)
        return;
    mDisproofs[inSubject] = {inAt, inNow};
    mLostStarts.erase(lost);
    for (auto &[part, entry] : mCandidates)
        std::erase_if(entry.losses, [&](const loss &inLoss) { return inLoss.start == inSubject; });
    std::erase_if(mCandidates, [](const auto &inEntry) { return inEntry.second.losses.empty(); });
}

void part_quarantine::loss_count::add(core::time_point inAt, core::duration inSeparation)
{
    if (++all == 1)
        first = inAt;
    else if (inAt - lastSeparate < inSeparation)
        return;
    lastSeparate = inAt;
    ++separate;
}

part_quarantine::evidence part_quarantine::weigh(part_digest inPart,
                                                 const candidate &inCandidate) const
{
    // A request is judged by its own losses alone, since refusing it refuses nothing else.
    const bool isWhole = isWholeRequest(inPart);
    const auto ofRequests = mExplained.byRequestsWith.find(inPart);
    evidence found;
    for (const loss &entry : inCandidate.losses) {
        const bool isExplained = !isWhole
            && (mExplained.byParts.contains(entry.start)
                || mExplained.byRequests.contains(entry.start));
        const bool isByOwnRequest = isExplained && !mExplained.byParts.contains(entry.start)
            && ofRequests != mExplained.byRequestsWith.end()
            && ofRequests->second.contains(entry.start);
        if (!isExplained || isByOwnRequest)
            found.withRequests.add(entry.at, mOptions.lossSeparation);
        if (!isExplained)
            found.unexplained.add(entry.at, mOptions.lossSeparation);
    }
    return found;
}

/// Whether a part may be quarantined on this evidence.
bool part_quarantine::isEnough(part_digest inPart, const evidence &inEvidence,
                               core::time_point inNow) const
{
    if (findQuarantine(inPart) != nullptr)
        return false;
    const auto &[unexplained, withRequests] = inEvidence;
    if (unexplained.separate >= mOptions.maxLosses)
        return inNow - unexplained.first >= mOptions.settleTime;
    return unexplained.separate >= cMinFurtherLosses && withRequests.separate >= mOptions.maxLosses
        && inNow - withRequests.first >= mOptions.settleTime;
}

const quarantined_part *part_quarantine::findQuarantine(part_digest inPart) const
{
    const auto found = mParts.find(inPart);
    return found == mParts.end() || found->second.cleared ? nullptr : &found->second;
}

/// Whether this instance sends the probes of a part.
bool part_quarantine::isProber(part_digest inPart) const
{
    const std::string subject = std::to_string(inPart);
    const std::uint64_t own = core::rendezvousWeight(subject, mInstance);
    return std::ranges::none_of(mLive, [&](const std::string &inOther) {
        return core::rendezvousWeight(subject, inOther) > own;
    });
}

/// Whether another part in quarantine was lost with most of the same endpoints.
bool part_quarantine::isAmbiguous(part_digest inPart) const
{
    const auto own = mCandidates.find(inPart);
    if (own == mCandidates.end())
        return false;
    return std::ranges::any_of(mCandidates, [&](const auto &inOther) {
        if (inOther.first == inPart || findQuarantine(inOther.first) == nullptr)
            return false;
        const auto common = std::ranges::count_if(own->second.losses, [&](const loss &inLoss) {
            return std::ranges::find(inOther.second.losses, inLoss.start, &loss::start)
                != inOther.second.losses.end();
        });
        return 2 * common > std::ssize(own->second.losses);
    });
}

bool part_quarantine::mayProbe(part_digest inPart, const quarantined_part &inState,
                               core::time_point inNow) const
{
    const bool isHoldOver = inNow >= inState.until
        || (inState.round == 1 && inNow - inState.since >= mOptions.ambiguousHold
            && isAmbiguous(inPart));
    return isHoldOver && !mProbes.contains(inPart) && isProber(inPart);
}

part_quarantine::admission part_quarantine::admit(const std::vector<shared_part> &inParts,
                                                  core::time_point inNow, bool inIsRepeat) const
{
    admission result = admission::allowed;
    for (const shared_part &part : inParts) {
        const bool isWhole = isWholeRequest(part.digest);
        const quarantined_part *state = findQuarantine(part.digest);
        if (state == nullptr) {
            // The decision on a request follows with the next update.
            const auto suspect = isWhole ? mCandidates.find(part.digest) : mCandidates.end();
            if (suspect != mCandidates.end()
                && weigh(part.digest, suspect->second).unexplained.separate
                    >= mOptions.maxLosses - (inIsRepeat ? 1 : 0))
                return admission::request_refused;
            continue;
        }
        if (!mayProbe(part.digest, *state, inNow))
            return isWhole ? admission::request_refused : admission::refused;
        result = admission::probe;
    }
    return inIsRepeat && result == admission::allowed && isNextSuspect(inParts, inNow)
        ? admission::refused
        : result;
}

/// Whether the next update would put one of these parts in quarantine.
bool part_quarantine::isNextSuspect(const std::vector<shared_part> &inParts,
                                    core::time_point inNow) const
{
    const auto hasEvidence = [&](const shared_part &inPart) {
        const auto suspect = mCandidates.find(inPart.digest);
        return suspect != mCandidates.end()
            && isEnough(inPart.digest, weigh(inPart.digest, suspect->second), inNow);
    };
    // Most requests have no suspected part, which spares the search among all candidates.
    if (std::ranges::none_of(inParts, hasEvidence))
        return false;
    const std::optional<part_digest> suspect = mostSuspect(inNow);
    return suspect && std::ranges::find(inParts, *suspect, &shared_part::digest) != inParts.end();
}

void part_quarantine::probeStarted(const std::vector<shared_part> &inParts, core::time_point inNow)
{
    for (const shared_part &part : inParts) {
        if (findQuarantine(part.digest) != nullptr)
            mProbes[part.digest] = inNow;
    }
}

core::duration part_quarantine::holdLeft(const std::vector<shared_part> &inParts,
                                         core::time_point inNow) const
{
    core::duration left{};
    for (const shared_part &part : inParts) {
        if (const quarantined_part *state = findQuarantine(part.digest))
            left = std::max(left, state->until - inNow);
    }
    return left;
}

void part_quarantine::quarantine(part_digest inPart, const evidence &inEvidence,
                                 core::time_point inNow)
{
    quarantined_part &state = mParts[inPart];
    core::duration hold = mOptions.firstHold;
    for (std::uint32_t round = 0; round < state.round && hold < mOptions.maxHold; ++round)
        hold *= 2;
    state = {.round = state.round + 1,
             .since = inNow,
             .until = inNow + std::min(hold, mOptions.maxHold)};
    mDecisions.erase(inPart);
    if (inEvidence.withRequests.all > 0)
        mDecisions[inPart] = {.round = state.round, .firstLoss = inEvidence.withRequests.first};
    addChange(part_change::kind::quarantined, inPart, inEvidence, inNow);
}

void part_quarantine::clear(part_digest inPart, core::time_point inNow)
{
    quarantined_part &state = mParts[inPart];
    state.cleared = true;
    addChange(part_change::kind::cleared, inPart, {}, inNow);
}

void part_quarantine::addChange(part_change::kind inKind, part_digest inPart,
                                const evidence &inEvidence, core::time_point inNow)
{
    const auto known = mCandidates.find(inPart);
    const quarantined_part &state = mParts[inPart];
    mChanges.push_back({.what = inKind,
                        .part = inPart,
                        .id = known == mCandidates.end() ? std::string() : known->second.id,
                        .round = state.round,
                        .losses = inEvidence.unexplained.all,
                        .evidenceAge = inEvidence.unexplained.all > 0
                            ? inNow - inEvidence.unexplained.first
                            : core::duration::zero(),
                        .hold = std::max(core::duration::zero(), state.until - inNow)});
}

std::vector<part_change> part_quarantine::update(core::time_point inNow)
{
    for (const auto &[part, state] : mParts) {
        const auto answer = mAnswers.find(part);
        if (state.cleared || answer == mAnswers.end())
            continue;
        if (answer->second > state.since || isDecisionRefuted(part, state))
            clear(part, inNow);
    }
    decide(inNow);
    dropOld(inNow);
    return std::exchange(mChanges, {});
}

void part_quarantine::decide(core::time_point inNow)
{
    for (const part_digest part : std::exchange(mFailedProbes, {})) {
        if (findQuarantine(part) != nullptr)
            quarantine(part, {.unexplained = {.all = 1, .separate = 1, .first = inNow}}, inNow);
    }
    findExplained();
    while (const auto part = mostSuspect(inNow)) {
        const std::vector<part_digest> suspects
            = isWholeRequest(*part) ? suspectRequests(inNow) : std::vector{*part};
        for (const part_digest suspect : suspects)
            quarantine(suspect, weigh(suspect, mCandidates.at(suspect)), inNow);
        for (const part_digest suspect : suspects)
            clearSubsumed(suspect, inNow);
        findExplained();
    }
}

/// The part that is to be quarantined next, if there is enough evidence against one.
std::optional<part_digest> part_quarantine::mostSuspect(core::time_point inNow) const
{
    std::optional<part_digest> most;
    // Of equal losses, those of a whole request refuse least.
    std::pair<int, bool> mostLosses;
    for (const auto &[part, entry] : mCandidates) {
        if (std::ssize(entry.losses) < mOptions.maxLosses)
            continue;
        const evidence found = weigh(part, entry);
        const std::pair losses(found.unexplained.all, isWholeRequest(part));
        if (losses > mostLosses && isEnough(part, found, inNow)) {
            most = part;
            mostLosses = losses;
        }
    }
    return most ? std::optional(deepestSuspect(*most, inNow)) : most;
}

/// The whole requests against which there is enough evidence.
std::vector<part_digest> part_quarantine::suspectRequests(core::time_point inNow) const
{
    std::vector<part_digest> suspects;
    for (const auto &[part, entry] : mCandidates) {
        if (isWholeRequest(part) && std::ssize(entry.losses) >= mOptions.maxLosses
            && isEnough(part, weigh(part, entry), inNow))
            suspects.push_back(part);
    }
    return suspects;
}

/// Follows the prompts that begin with a part as long as the next part is almost as suspect: one
/// more loss of the part before may have another cause.
part_digest part_quarantine::deepestSuspect(part_digest inPart, core::time_point inNow) const
{
    part_digest deepest = inPart;
    int losses = weigh(inPart, mCandidates.at(inPart)).unexplained.all;
    const auto follows = [&](const auto &inOther) {
        const auto &[part, entry] = inOther;
        if (entry.parent != deepest || findQuarantine(part) != nullptr)
            return false;
        const evidence found = weigh(part, entry);
        return found.unexplained.all >= std::max(cMinFollowingLosses, losses - 1)
            && (!isWholeRequest(part) || isEnough(part, found, inNow));
    };
    // Prompts that contradict each other could form a cycle.
    for (std::size_t step = 0; step < mCandidates.size(); ++step) {
        const auto next = std::ranges::find_if(mCandidates, follows);
        if (next == mCandidates.end())
            break;
        deepest = next->first;
        losses = weigh(deepest, next->second).unexplained.all;
    }
    return deepest;
}

/// Whether an answer from before a quarantine, learned of after it, leaves too few of the losses on
/// which this instance decided. The losses and answers that other instances see arrive one by one,
/// so the settle time after the first loss may be over before the answers since are known.
bool part_quarantine::isDecisionRefuted(part_digest inPart, const quarantined_part &inState) const
{
    const auto decided = mDecisions.find(inPart);
    const auto answer = mAnswers.find(inPart);
    if (decided == mDecisions.end() || decided->second.round != inState.round
        || answer == mAnswers.end() || answer->second <= decided->second.firstLoss)
        return false;
    const auto suspect = mCandidates.find(inPart);
    return suspect == mCandidates.end() || std::ssize(suspect->second.losses) < mOptions.maxLosses;
}

/// Collects the losses that quarantines explain.
void part_quarantine::findExplained()
{
    mExplained = {};
    for (const auto &[part, entry] : mCandidates) {
        if (findQuarantine(part) == nullptr)
            continue;
        auto &explained = isWholeRequest(part) ? mExplained.byRequests : mExplained.byParts;
        for (const loss &lost : entry.losses)
            explained.insert(lost.start);
        if (!isWholeRequest(part))
            continue;
        // The parts of the request. Contradicting prompts could form a cycle.
        part_digest ancestor = entry.parent;
        for (std::size_t step = 0; ancestor != 0 && step < mCandidates.size(); ++step) {
            auto &ofAncestor = mExplained.byRequestsWith[ancestor];
            for (const loss &lost : entry.losses)
                ofAncestor.insert(lost.start);
            const auto before = mCandidates.find(ancestor);
            ancestor = before == mCandidates.end() ? 0 : before->second.parent;
        }
    }
}

/// Ends the quarantine of other parts if this one explains all of their losses and more. A whole
/// request need not explain more.
void part_quarantine::clearSubsumed(part_digest inPart, core::time_point inNow)
{
    const auto found = mCandidates.find(inPart);
    if (found == mCandidates.end())
        return;
    const std::vector<loss> &explaining = found->second.losses;
    const auto isExplained = [&](const loss &inLoss) {
        return std::ranges::find(explaining, inLoss.start, &loss::start) != explaining.end();
    };
    for (const auto &[part, entry] : mCandidates) {
        if (part != inPart && findQuarantine(part) != nullptr && !isWholeRequest(part)
            && (isWholeRequest(inPart) || entry.losses.size() < explaining.size())
            && std::ranges::all_of(entry.losses, isExplained))
            clear(part, inNow);
    }
}

void part_quarantine::dropOld(core::time_point inNow)
{
    for (const auto &[part, state] : mParts) {
        if (!state.cleared && inNow > state.until + mOptions.retention)
            addChange(part_change::kind::expired, part, {}, inNow);
    }
    std::erase_if(mParts, [&](const auto &inEntry) {
        return inNow > inEntry.second.until + mOptions.retention;
    });
    std::erase_if(mDecisions,
                  [&](const auto &inEntry) { return findQuarantine(inEntry.first) == nullptr; });
    for (auto &[part, entry] : mCandidates)
        std::erase_if(entry.losses,
                      [&](const loss &inLoss) { return inNow - inLoss.at > mOptions.retention; });
    std::erase_if(mCandidates, [](const auto &inEntry) { return inEntry.second.losses.empty(); });
    std::erase_if(mLostStarts,
                  [&](const auto &inEntry) { return inNow - inEntry.second > mOptions.retention; });
    std::erase_if(mAnswers, [&](const auto &inEntry) {
        return inNow - inEntry.second > mOptions.answerRetention;
    });
    std::erase_if(mProbes, [&](const auto &inEntry) {
        return inNow - inEntry.second > mOptions.probeTimeout;
    });
    std::erase_if(mOwnLosses, [&](const auto &inEntry) {
        return inNow - inEntry.second.at > mOptions.reportTime;
    });
    std::erase_if(mDisproofs, [&](const auto &inEntry) {
        return inNow - inEntry.second.notedAt > mOptions.reportTime;
    });
    limitSize(mCandidates, mOptions.maxCandidates, [](const candidate &inEntry) {
        return std::pair(inEntry.losses.size(), inEntry.losses.back().at);
    });
    limitSize(mAnswers, mOptions.maxAnswers, [](core::time_point inAt) { return inAt; });
    limitSize(mParts, mOptions.maxQuarantined,
              [](const quarantined_part &inState) { return inState.since; });
}

quarantine_state part_quarantine::report() const
{
    quarantine_state state{.losses = mOwnLosses, .answers = {}, .parts = mParts};
    for (const auto &[subject, answer] : mDisproofs)
        state.answers.emplace(subject, answer.answeredAt);
    return state;
}

std::size_t part_quarantine::quarantined() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(mParts, [](const auto &inEntry) { return !inEntry.second.cleared; }));
}

} // namespace corneltally::quarantine
