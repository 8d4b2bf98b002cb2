// Guards against a load tool and a checker that find nothing because they see nothing: a small
// fleet with the daemon serves a short load, and the ledgers must hold it and agree.

#include "standins/fleet.h"
#include "standins/ledger_checker.h"

#include <filesystem>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

TEST_CASE("a small fleet serves a short load and its ledgers show no violation")
{
    const std::string workload = GENERATE(as<std::string>(), "strengvegur", "persatuan");
    const std::string folder = CORNELTALLY_BINARY_DIR "/fleet_test/load_" + workload;
    std::filesystem::remove_all(folder);
    standins::fleet fleet({.binaries = CORNELTALLY_BINARY_DIR,
                           .folder = folder,
                           .workload = workload,
                           .instances = 2,
                           .engines = 3,
                           .applications = 1,
                           .enginesWithoutFencing = 1,
                           .adapters = 8});
    const bool started = fleet.start();
    INFO(fleet.problem());
    REQUIRE(started);
    std::vector<std::string> arguments{
        "--workload", workload, "--adapters", "8",
        "--seconds",  "3",      "--ledger",   fleet.fileIn("load.ledger")};
    for (const std::string &address : fleet.callerAddresses()) {
        arguments.emplace_back("--target");
        arguments.push_back(address);
    }
    standins::child_process load({.program = CORNELTALLY_BINARY_DIR "/standins/standin_load",
                                  .arguments = arguments,
                                  .logFile = fleet.fileIn("load.log")});
    const std::string table = load.readOutput(120s);
    INFO(table);
    // Exit code 1 stands for wrong answers or double runs.
    CHECK(load.waitExit(10s) == 0);
    standins::ledger_checker checker;
    for (const std::string &file : fleet.ledgerFiles())
        REQUIRE(checker.addFile(file));
    REQUIRE(checker.addFile(fleet.fileIn("load.ledger")));
    CHECK(checker.callCount() >= 20);
    CHECK(checker.runCount() >= 10);
    for (const standins::violation &entry : checker.check())
        FAIL_CHECK(entry.guarantee << ": " << entry.message);
    CHECK(fleet.stop());
}
