// Guards against peers that count as live without progress, against messages of an old incarnation
// that override a newer one, and against two processes with the same name.

#include "corneltally/membership/peer_table.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using membership::peer_state;
using membership::peer_table;
using membership::update_outcome;
using names = std::vector<std::string>;

namespace {

const core::time_point cStart{1000s};

peer_table makeTable()
{
    peer_table table("entry-2", 500);
    table.setInstances({"entry-1", "entry-2", "entry-3"});
    return table;
}

} // namespace

TEST_CASE("a silent peer becomes suspect after 1 s and down after 2 s")
{
    peer_table table = makeTable();
    CHECK(table.stateOf("entry-1", cStart) == peer_state::unknown);
    CHECK(table.viewAt(cStart).live == names{"entry-2"});

    CHECK(table.recordMessage("entry-1", 7, false, cStart) == update_outcome::replaced);
    CHECK(table.stateOf("entry-1", cStart + 999ms) == peer_state::live);
    CHECK(table.nextChange(cStart) == cStart + 1s);
    CHECK(table.stateOf("entry-1", cStart + 1s) == peer_state::suspect);
    CHECK(table.peersIn(peer_state::suspect, cStart + 1s) == names{"entry-1"});
    CHECK(table.viewAt(cStart + 1999ms).live == names{"entry-1", "entry-2"});
    CHECK(table.nextChange(cStart + 1s) == cStart + 2s);
    CHECK(table.stateOf("entry-1", cStart + 2s) == peer_state::down);
    CHECK(table.viewAt(cStart + 2s).live == names{"entry-2"});
    CHECK_FALSE(table.nextChange(cStart + 2s));
}

TEST_CASE("progress makes a peer live again, also after it was down")
{
    peer_table table = makeTable();
    table.recordMessage("entry-1", 7, false, cStart);
    CHECK(table.recordProgress("entry-1", 7, cStart + 900ms) == update_outcome::current);
    CHECK(table.stateOf("entry-1", cStart + 1500ms) == peer_state::live);
    CHECK(table.recordMessage("entry-1", 7, false, cStart + 5s) == update_outcome::current);
    CHECK(table.stateOf("entry-1", cStart + 5s) == peer_state::live);
}

TEST_CASE("a newer incarnation replaces an older one, whose messages are then ignored")
{
    peer_table table = makeTable();
    table.recordMessage("entry-1", 7, true, cStart);
    CHECK(table.viewAt(cStart).draining == names{"entry-1"});
    CHECK(table.recordMessage("entry-1", 8, false, cStart + 1s) == update_outcome::replaced);
    CHECK(table.viewAt(cStart + 1s).draining.empty());
    CHECK(table.recordMessage("entry-1", 7, true, cStart + 1500ms) == update_outcome::outdated);
    CHECK(table.viewAt(cStart + 1500ms).live == names{"entry-1", "entry-2"});
    CHECK(table.stateOf("entry-1", cStart + 3s) == peer_state::down);
}

TEST_CASE("a peer stays draining for the rest of its incarnation")
{
    peer_table table = makeTable();
    table.recordMessage("entry-1", 7, true, cStart);
    // A heartbeat that was queued before the drain notice arrives after it.
    table.recordMessage("entry-1", 7, false, cStart + 100ms);
    CHECK(table.viewAt(cStart + 100ms).draining == names{"entry-1"});
    CHECK(table.viewAt(cStart + 100ms).live == names{"entry-2"});
    CHECK(table.viewAt(cStart + 3s).draining.empty());

    table.startDrain();
    CHECK(table.viewAt(cStart + 100ms).draining == names{"entry-1", "entry-2"});
}

TEST_CASE("a newer incarnation with the own name supersedes this process")
{
    peer_table table = makeTable();
    CHECK(table.recordMessage("entry-2", 499, false, cStart) == update_outcome::outdated);
    CHECK(table.recordMessage("entry-2", 500, false, cStart) == update_outcome::ignored);
    CHECK_FALSE(table.isSuperseded());
    CHECK(table.recordMessage("entry-2", 501, false, cStart) == update_outcome::superseded);
    CHECK(table.isSuperseded());
}

TEST_CASE("only instances that the tree names are peers")
{
    peer_table table = makeTable();
    CHECK(table.recordMessage("entry-9", 1, false, cStart) == update_outcome::ignored);
    table.recordMessage("entry-3", 1, false, cStart);
    table.setInstances({"entry-1", "entry-2"});
    CHECK(table.viewAt(cStart).live == names{"entry-2"});
    CHECK(table.stateOf("entry-3", cStart) == peer_state::unknown);
}
