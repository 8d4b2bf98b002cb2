/*
 * Ownership of one endpoint that checks fencing numbers (design.md, section 4.3), with one adapter.
 *
 * An owner reads the endpoint's highest fencing number, registers a greater unique one and sends it
 * with every command. Commands travel as messages that can be overtaken by those of another
 * connection or be lost, and an owner may pause between any two steps, so that an old owner's
 * commands arrive after a new one took over. A new owner treats the resident adapter as in use until
 * a report that was taken after its registration shows no run.
 *
 * Safety: no adapter in use is unloaded; a run refused as not_run never runs.
 *
 * Broken variants, each of which must be caught:
 *   -DBREAK_FENCE        the endpoint accepts old fencing numbers
 *   -DBREAK_QUARANTINE   a new owner trusts its own count only
 *   -DBREAK_UNKNOWN      an owner keeps its fencing number after a run whose outcome is unknown
 */

#define INSTANCES 2
#define MAX_RUNS 2

mtype = { start, unload };

/* Endpoint state. */
byte highest = 0;
byte running = 0;
bool resident = true;

/* Commands on their way: kind, fencing number, run id. Random receive models separate connections. */
chan commands = [3] of { mtype, byte, byte };

byte nextRun = 1;
mtype = { pending, started, refused, ended };
mtype runState[MAX_RUNS + 1];

active proctype endpoint()
{
    mtype kind;
    byte fence;
    byte id;
end:
    do
    :: commands ?? start, fence, id ->
        atomic {
            if
#ifndef BREAK_FENCE
            :: fence < highest -> runState[id] = refused
            :: fence >= highest && resident -> running++; runState[id] = started
            :: fence >= highest && !resident -> runState[id] = refused
#else
            :: resident -> running++; runState[id] = started
            :: !resident -> runState[id] = refused
#endif
            fi
        }
    :: commands ?? unload, fence, id ->
        atomic {
            if
#ifndef BREAK_FENCE
            :: fence < highest -> skip
            :: else ->
#else
            :: true ->
#endif
                assert(running == 0);
                resident = false
            fi
        }
    :: atomic { running > 0 ->
        /* A run ends. */
        id = 1;
        do
        :: id <= MAX_RUNS && runState[id] == started ->
            runState[id] = ended;
            running--;
            break
        :: id < MAX_RUNS && runState[id] != started -> id++
        :: else -> break
        od }
    od
}

proctype instance(byte slot)
{
    byte seen;
    byte fence = 0;
    byte own = 0;        /* the run that this owner waits for; 0 is none */
    bool quarantined = true;

    do
    :: fence == 0 ->
        /* Reads the highest number; another instance may register between the two steps. */
        seen = highest;
        atomic {
            if
            :: (seen / INSTANCES + 1) * INSTANCES + slot > highest && seen < 6 ->
                fence = (seen / INSTANCES + 1) * INSTANCES + slot;
                highest = fence;
                quarantined = true
            :: else -> skip
            fi
        };
        if
        :: seen >= 6 -> break
        :: else
        fi
    :: fence != 0 && quarantined ->
#ifdef BREAK_QUARANTINE
        quarantined = false
#else
        /* Report taken after the registration. A run with a fencing number below it cannot start any more. */
        if
        :: atomic { running == 0 && own == 0 -> quarantined = false }
        :: fence != highest -> fence = 0
        :: else
        fi
#endif
    :: atomic { fence != 0 && own == 0 && nextRun <= MAX_RUNS && nfull(commands) ->
        own = nextRun;
        nextRun++;
        runState[own] = pending;
        commands ! start, fence, own }
    :: atomic { own != 0 && (runState[own] == ended || runState[own] == refused) -> own = 0 }
    :: atomic { own != 0 ->
        /* The connection broke: the outcome is unknown and the command may still arrive. A new
           fencing number makes the endpoint refuse it; a report alone would not show it. */
        own = 0;
#ifndef BREAK_UNKNOWN
        fence = 0;
#endif
        quarantined = true }
    :: atomic { fence != 0 && !quarantined && own == 0 && nfull(commands) ->
        commands ! unload, fence, 0;
        fence = 0 }
    :: fence != 0 -> fence = 0 /* pause or loss: acquires again later */
    :: break /* kill */
    od
}

init {
    atomic {
        run instance(0);
        run instance(1)
    }
}
