#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/endpoint_choice.h"
#include "corneltally/engines/event_intervals.h"
#include "corneltally/fleet/fleet_messages.h"
#include "corneltally/forwarding/attempt_rules.h"
#include "corneltally/forwarding/event_splitter.h"
#include "corneltally/http1/client_connection.h"
#include "corneltally/http1/server_connection.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/limits/permit_term.h"
#include "corneltally/quarantine/shared_part.h"
#include "corneltally/routing/region_restriction.h"
#include "corneltally/routing/request_terms.h"
#include "corneltally/routing/routing_table.h"
#include "corneltally/scheduling/overload_policy.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace corneltally::forwarding {

struct forward_context;

/// Handles one request from its arrival to the end of its answer.
class forwarded_request
{
public:
    /// inDone is called when the request is finished. It may be called from within a member
    /// function, so the object must be destroyed later.
    forwarded_request(forward_context &ioContext, http1::server_connection &ioCaller,
                      http1::server_request inRequest, std::function<void()> inDone);
    ~forwarded_request();
    forwarded_request(const forwarded_request &) = delete;
    forwarded_request &operator=(const forwarded_request &) = delete;

    /// With inHoldsAdmission the request is admitted only by admitHeld(). It is refused if its time
    /// ends before.
    void start(bool inHoldsAdmission);
    /// Admits the request if it waits for that.
    void admitHeld();

    /// Called when the caller has closed its connection; cancels the work at the endpoint.
    void callerLeft();

    /// Called when the unsent bytes of the answer were sent to the caller.
    void callerDrained();

    /// Called when the known state of an endpoint changed. Only a request that waits for an adapter
    /// or a permit there reacts.
    void endpointChanged(std::string_view inEndpoint);

    /// Called when parts were quarantined. Ends the request if it has one of them and no event was
    /// received.
    void partsQuarantined();

    /// Called when a failure domain was evacuated. A request that is for one of its endpoints, and
    /// was not yet sent, chooses again.
    void leaveEvacuated();

    /// Called when no request may be sent for now. One that is being sent, but of which nothing was
    /// sent yet, waits for sendHeld().
    void holdUnsent();
    /// Called when requests may be sent again. A request that waits for it chooses again.
    void sendHeld();

    /// Ends the request because the instance is about to exit.
    void endForStop();

    bool isWaitingFor(std::string_view inEndpoint) const
    {
        return (mState == state::waiting || mState == state::awaiting_permit)
            && mChoice.endpoint == inEndpoint;
    }

private:
    /// Engines rank requests from 0, the most urgent, to this value.
    static constexpr int cMaxUrgency = 9;

    enum class state { received, waiting, awaiting_permit, sent, answering, done };

    bool resolveRoute();
    bool admit();
    void admitAndSend();
    bool admitParts();
    std::uint64_t contentHash() const;
    void restrictRegions(const routing::client_account *inAccount);
    void noteRegionsKept();
    bool mayReceive(const engines::endpoint &inTarget) const;
    std::string_view unservedReason() const;
    void chooseAndSend();
    void sendOrAwaitAdapter();
    void requestAdapterLoad();
    void send();
    void sendNow();
    void permitReplied(const fleet::permit_reply &inReply);
    void permitTimerExpired();
    void permitExpired(std::string_view inOutcome);
    void permitUnused();
    void forgetPermit();
    void attemptEnded(attempt_result inResult, std::string_view inReason);
    void headArrived(const http1::response_head &inHead);
    bool bodyArrived(std::string_view inData);
    void exchangeEnded(const http1::exchange_end &inEnd);
    void partsProved();
    void endpointLost();
    void streamEndedInsideEvent();
    engines::endpoint *currentTarget();
    void answerComplete();
    bool forwardEvents(std::string_view inData);
    void beginAnswer(std::optional<std::uint64_t> inLength);
    void deadlineExpired();
    void endUnfinished(std::string_view inReason);
    core::duration timeNeeded() const;
    void adapterTimerExpired();
    void refuse(int inStatus, std::string_view inReason,
                std::optional<core::duration> inRetryAfter = std::nullopt);
    void refuseBusy(std::string_view inReason);
    void refuseUnserved(std::string_view inReason);
    void answerUnknown(std::string_view inReason);
    void passFailure();
    bool retryWhenLoaded(std::string_view inReason);
    bool isAdapterResident() const;
    bool isAdapterArriving(const engines::endpoint &inTarget) const;
    core::time_point loadStartLimit(const engines::endpoint &inTarget) const;
    void finish(int inStatus, std::string_view inOutcome, std::string_view inReason);
    void cancelAttempt();
    bool isUnsent() const;
    void recallUnsent();
    void abortAnswer(std::string_view inReason);
    void countWaiting(engines::endpoint &ioTarget);
    void uncountWaiting();
    void sendAdapterRunning(const engines::endpoint &inTarget, bool inRunning);
    void countLoad();
    void uncountLoad();
    void recordPause(const engines::endpoint &inTarget);
    void recordInterval(const engines::endpoint &inTarget);
    void eventsReceived();
    void firstEventReceived();
    void compareEstimate();
    core::duration timeLeft() const;
    core::duration retryAfter() const;
    scheduling::overload_request overloadRequest(core::time_point inNow) const;
    bool weighOverload(core::time_point inNow);
    std::optional<int> urgency() const;
    void countOverload();
    void uncountOverload(bool inBegun);
    void overloadNotServed();

    forward_context &mContext;
    http1::server_connection &mCaller;
    http1::server_request mRequest;
    std::function<void()> mDone;
    /// Keeps mRoute and mService valid after a configuration change.
    std::shared_ptr<const routing::routing_table> mTable;
    routing::request_terms mTerms;
    const routing::route *mRoute = nullptr;
    const routing::service *mService = nullptr;
    std::string mAccount;
    std::optional<int> mPriority;
    routing::region_restriction mRegions;
    /// Whether a usable endpoint outside the allowed regions was excluded.
    bool mKeptInRegions = false;
    engines::work_request mWork;
    /// The shared parts of the prompt in their order, and the request as a whole.
    std::vector<quarantine::shared_part> mPartChain;
    /// Whether an endpoint answered long enough to show that no part crashes it.
    bool mPartsProved = false;
    /// Whether the request tests a part in quarantine.
    bool mIsProbe = false;
    engines::endpoint_choice mChoice;
    /// The latest decision of the overload policy, if it is in force for the service.
    std::optional<scheduling::overload_decision> mOverload;
    /// Urgency with which the prompt is counted as waiting by the overload policy.
    std::optional<int> mCountedUrgency;
    std::uint64_t mEndpointStart = 0;
    kernel::timer mDeadline;
    kernel::timer mAdapterTimer;
    kernel::timer mPermitTimer;
    core::time_point mAnswerDeadline;
    core::time_point mCallerDeadline;
    core::time_point mWaitingSince;
    core::time_point mSentAt;
    std::uint64_t mPermitNumber = 0;
    int mPermitsNotReceived = 0;
    int mPermitsDenied = 0;
    limits::permit_term mPermitTerm{core::time_point()};
    /// Until when the permit of the current attempt may be used; empty if it needs none.
    std::optional<core::time_point> mPermitEnd;
    std::optional<core::time_point> mFirstByteAt;
    core::time_point mLastByteAt;
    core::duration mLongestPause{};
    engines::event_intervals mIntervals;
    std::unique_ptr<http1::client_connection> mUpstream;
    http1::response_head mHead;
    std::string mBody;
    event_splitter mSplitter;
    std::string mLastEventId;
    state mState = state::received;
    run_state mRunState = run_state::not_run;
    std::set<std::string> mUsedEndpoints;
    int mSendCount = 0;
    int mLoadRetries = 0;
    int mLoadsRequested = 0;
    routing::answer_terms mAnswer;
    bool mOnKeptConnection = false;
    bool mAnswerAsksPause = false;
    bool mHeadReceived = false;
    /// The last attempt ended with a failure answered by the endpoint, which can be forwarded.
    bool mFailureAnswerStored = false;
    bool mAnswerStarted = false;
    bool mBuffersAnswer = false;
    double mChargedAmount = 0;
    /// Whether the request waits for admitHeld().
    bool mAdmissionHeld = false;
    /// Whether the request waits until requests may be sent again.
    bool mHeld = false;
    bool mWaitingCounted = false;
    bool mLoadCounted = false;
    bool mPromptCounted = false;
    double mMemoryTokens = 0;
    bool mUpstreamReadPaused = false;
};

} // namespace corneltally::forwarding
