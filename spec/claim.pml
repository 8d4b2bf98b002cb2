/*
 * Claims of an idempotency key through the platform's log (design.md, section 4.4).
 *
 * Records: claim, release. An append is in flight until the log takes it or loses it, its answer
 * is never relied on, and it may be sent twice (resolving a lost answer). A claimant replays the log
 * and dispatches only as the holder. Only the first record with a claim id counts, and a claim takes
 * the key only if nobody holds it at that offset; a claimant that sees the key free again claims it
 * with a new id. A claimant may stop at any step (kill) and steps interleave
 * freely (pause).
 *
 * Safety:   the endpoint runs the request at most once; a request that was answered not_run is
 *           never run.
 * Liveness: after a release the key can be claimed again (compile with -DLIVENESS).
 *
 * Broken variants, each of which must be caught:
 *   -DBREAK_CLAIM     dispatches without reading its own claim as the holder
 *   -DBREAK_RELEASE   releases a claim whose run may have started
 *   -DBREAK_REPLAY    lets a late duplicate of an earlier claim take the key
 *                     (with -DLIVENESS: the key is blocked for good)
 *   -DBREAK_RECLAIM   a claimant that lost does not claim again after a release (with -DLIVENESS)
 */

#ifndef CLAIMANTS
#define CLAIMANTS 2
#endif
#define LOG_SIZE 7
#define NONE 0

mtype = { claim, release };

mtype logKind[LOG_SIZE];
byte logId[LOG_SIZE];
byte logEnd = 0;

chan inFlight = [3] of { mtype, byte };

byte runs = 0;
bool answeredNotRun[CLAIMANTS + 1];
bool ran[CLAIMANTS + 1];
bool granted[CLAIMANTS + 1];
bool releasedOnLog = false;

/* Replay of the log prefix: the first claim with no release before it holds the key. */
inline replay(outHolder)
{
    d_step {
        outHolder = NONE;
        position = 0;
        spent = 0;
        do
        :: position < logEnd ->
            if
            :: logKind[position] == claim ->
                if
                :: outHolder == NONE && !(spent & (1 << logId[position])) ->
                    outHolder = logId[position]
                :: else
                fi;
#ifndef BREAK_REPLAY
                spent = spent | (1 << logId[position])
#endif
            :: logKind[position] == release ->
                if
                :: outHolder == logId[position] -> outHolder = NONE
                :: else
                fi
            fi;
            position++
        :: else -> break
        od;
        seen = (spent & (1 << mine)) != 0;
        position = 0;
        spent = 0
    }
}

active proctype log_service()
{
    mtype kind;
    byte id;
end:
    do
    :: inFlight ? kind, id ->
        if
        :: logEnd < LOG_SIZE ->
            atomic {
                logKind[logEnd] = kind;
                logId[logEnd] = id;
                logEnd++;
                releasedOnLog = releasedOnLog || kind == release
            }
#ifndef LIVENESS
        :: true /* the append is lost */
#endif
        fi
    od
}

proctype claimant(byte id)
{
    byte holder = NONE;
    byte position = 0;
    byte spent = 0;
    byte sends = 0;
    bool givenUp = false;
    bool seen = false;
    byte mine = id;

    inFlight ! claim, mine;
    sends = 1;
    do
    :: sends < 2 && nfull(inFlight) ->
        /* No answer arrived: the same record is sent again with the same id. */
        inFlight ! claim, mine;
        sends++
#ifndef LIVENESS
    :: !givenUp ->
        /* Deadline: the request is refused and will not be dispatched. */
        givenUp = true;
        answeredNotRun[id] = true
    :: break /* kill */
#endif
    :: true ->
        replay(holder);
#ifdef BREAK_CLAIM
        holder = (givenUp -> holder : mine);
#endif
        if
        :: holder == mine && givenUp ->
            inFlight ! release, mine;
            break
        :: holder == mine && !givenUp ->
            granted[id] = true;
            if
#ifdef LIVENESS
            :: id == 1 -> /* connect failed: no byte was sent */
#else
            :: true -> /* connect failed: no byte was sent */
#endif
                answeredNotRun[id] = true;
                inFlight ! release, mine
#ifdef LIVENESS
            :: id != 1 ->
#else
            :: true ->
#endif
                atomic {
                    runs++;
                    ran[id] = true
                };
                assert(runs <= 1);
                assert(!answeredNotRun[id]);
#ifdef BREAK_RELEASE
                inFlight ! release, mine
#endif
            fi;
            break
        :: holder != NONE && holder != mine && !givenUp ->
#ifdef LIVENESS
            skip /* waits for the holder */
#else
            break /* answered with the winner's result or unknown */
#endif
#ifndef BREAK_RECLAIM
        :: holder == NONE && seen && !givenUp && mine == id ->
            mine = id + CLAIMANTS;
            inFlight ! claim, mine;
            sends = 1
#endif
        :: else
        fi
    od;
    assert(!(answeredNotRun[id] && ran[id]))
}

init {
    atomic {
        byte id = 1;
        do
        :: id <= CLAIMANTS ->
            run claimant(id);
            id++
        :: else -> break
        od
    }
}

#ifdef LIVENESS
/* Claimant 1 always fails to connect and releases; claimant 2 must get the key. */
ltl reclaim { <> granted[2] }
#endif
