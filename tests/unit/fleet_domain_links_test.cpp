// Guards against failure domains that lose touch although some of their instances reach each other,
// against account totals that are lost or counted twice when an instance that links two domains is
// replaced, and against traffic that grows with the square of the instances. A fleet exchanges
// heartbeats and summaries on a virtual clock.

#include "corneltally/fleet/domain_links.h"
#include "corneltally/fleet/fleet_codec.h"
#include "corneltally/fleet/summary_builder.h"

#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using core::duration;

namespace {

constexpr duration cPeriod = 200ms;
constexpr duration cLiveTimeout = 1000ms;
constexpr duration cListedTimeout = 1200ms;
/// Changes have to be known everywhere within this time, also while instances fail.
constexpr duration cTarget = 3000ms;

struct sim_options
{
    int instances = 4;
    int domains = 3;
    unsigned seed = 1;
    double loss = 0;
    double duplication = 0;
    duration maxDelay = 10ms;
    fleet::domain_link_options links = {};
};

/// A summary on its way, and the names of the instances in it.
struct sent_summary
{
    fleet::domain_summary body;
    std::set<std::string> listed;
};

class fleet_simulation
{
public:
    struct heard_summary
    {
        std::shared_ptr<const sent_summary> summary;
        core::time_point at;
    };
    struct instance
    {
        fleet::member self;
        bool running = true;
        std::unique_ptr<fleet::domain_links> links;
        std::unique_ptr<fleet::summary_builder> builder;
        double charged = 0;
        std::map<std::string, core::time_point> localHeard;
        /// Last summary of each other domain.
        std::map<std::string, heard_summary> summariesHeard;
        /// Totals of the instances of other domains as known here.
        std::map<std::string, double> totals;
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> sequences;
        std::size_t messages = 0;
        std::size_t summaries = 0;
        std::size_t bytes = 0;
    };

    explicit fleet_simulation(const sim_options &inOptions)
        : mOptions(inOptions)
        , mRandom(inOptions.seed)
    {
        for (int index = 0; index < inOptions.instances; ++index)
            add("i" + std::to_string(index), "d" + std::to_string(index % inOptions.domains));
        updateMembers();
    }

    void add(const std::string &inName, const std::string &inDomain)
    {
        instance &added = instances[inName];
        added.self = {inName, inName, "10.0.0.1:80", inDomain, ++mIncarnations};
        added.links
            = std::make_unique<fleet::domain_links>(inDomain, inName, now(), mOptions.links);
        added.builder = std::make_unique<fleet::summary_builder>(added.self);
        const auto phase = std::uniform_int_distribution<long long>(0, 199)(mRandom);
        at(phase * 1ms, [this, inName] { tick(inName); });
    }

    void updateMembers()
    {
        for (auto &[name, entry] : instances) {
            std::map<std::string, std::string> others;
            for (const auto &[other, described] : instances) {
                if (other != name)
                    others[other] = described.self.failureDomain;
            }
            entry.links->setMembers(others);
        }
    }

    core::time_point now() const { return core::time_point(1h + mNow); }

    void run(duration inTime)
    {
        const duration end = mNow + inTime;
        while (!mEvents.empty() && mEvents.begin()->first <= end) {
            const auto event = mEvents.extract(mEvents.begin());
            mNow = event.key();
            event.mapped()();
        }
        mNow = end;
    }

    /// Time until a condition holds, at most inLimit.
    duration timeUntil(const std::function<bool()> &inCondition, duration inLimit)
    {
        const duration start = mNow;
        while (!inCondition() && mNow - start < inLimit)
            run(20ms);
        return inCondition() ? mNow - start : inLimit + 1s;
    }

    bool isLiveFor(const instance &inObserver, const instance &inOther) const
    {
        const bool isLocal = inObserver.self.failureDomain == inOther.self.failureDomain;
        if (isLocal) {
            const auto heard = inObserver.localHeard.find(inOther.self.instance);
            return heard != inObserver.localHeard.end() && now() - heard->second <= cLiveTimeout;
        }
        const auto heard = inObserver.summariesHeard.find(inOther.self.failureDomain);
        return heard != inObserver.summariesHeard.end()
            && heard->second.summary->listed.contains(inOther.self.instance)
            && now() - heard->second.at <= cListedTimeout;
    }

    /// Whether each running instance that inFilter selects sees inOther live, or not.
    bool allSee(const std::string &inOther, bool inLive,
                const std::function<bool(const instance &)> &inFilter = {}) const
    {
        const instance &other = instances.at(inOther);
        return std::ranges::all_of(instances, [&](const auto &inEntry) {
            const instance &observer = inEntry.second;
            return inEntry.first == inOther || !observer.running
                || (inFilter && !inFilter(observer)) || isLiveFor(observer, other) == inLive;
        });
    }

    /// Whether all running instances of other domains know the current total of an instance.
    bool allKnowTotal(const std::string &inOther) const
    {
        const instance &other = instances.at(inOther);
        return std::ranges::all_of(instances, [&](const auto &inEntry) {
            const instance &observer = inEntry.second;
            if (!observer.running || observer.self.failureDomain == other.self.failureDomain)
                return true;
            const auto found = observer.totals.find(inOther);
            return found != observer.totals.end() && found->second == other.charged;
        });
    }

    /// The instances that currently send summaries from one domain to another.
    std::set<std::string> sendersBetween(const std::string &inFrom, const std::string &inTo)
    {
        std::set<std::string> senders;
        for (auto &[name, entry] : instances) {
            if (!entry.running || entry.self.failureDomain != inFrom)
                continue;
            for (const std::string &target : entry.links->targets(now())) {
                if (instances.at(target).self.failureDomain == inTo)
                    senders.insert(name);
            }
        }
        return senders;
    }

    void resetCounters()
    {
        for (auto &[name, entry] : instances)
            entry.messages = entry.summaries = entry.bytes = 0;
    }

    std::map<std::string, instance> instances;
    /// Whether messages from one instance reach another.
    std::function<bool(const instance &, const instance &)> reaches
        = [](const instance &, const instance &) { return true; };

private:
    void at(duration inDelay, std::function<void()> inTask)
    {
        mEvents.emplace(mNow + inDelay, std::move(inTask));
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }

    void send(const std::string &inFrom, const std::string &inTo,
              const std::function<void(instance &)> &inDeliver)
    {
        if (uniform() < mOptions.loss)
            return;
        if (mOptions.maxDelay == 0ms) {
            instance &target = instances.at(inTo);
            if (target.running && reaches(instances.at(inFrom), target))
                inDeliver(target);
            return;
        }
        const int copies = uniform() < mOptions.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const duration delay = 1ms
                + duration(static_cast<long long>(
                    uniform() * static_cast<double>(mOptions.maxDelay.count())));
            at(delay, [this, inFrom, inTo, inDeliver] {
                instance &target = instances.at(inTo);
                if (target.running && reaches(instances.at(inFrom), target))
                    inDeliver(target);
            });
        }
    }

    void tick(const std::string &inName)
    {
        at(cPeriod, [this, inName] { tick(inName); });
        instance &self = instances.at(inName);
        if (!self.running)
            return;
        std::set<std::string> livePeers;
        for (const auto &[peer, heard] : self.localHeard) {
            if (now() - heard <= cLiveTimeout)
                livePeers.insert(peer);
            else
                self.builder->instanceLost(peer);
        }
        self.links->setLivePeers(livePeers);
        const fleet::heartbeat beat{.accountUses = {{"account", self.charged}},
                                    .loads = {{engines::digestOf(inName), {1, 100, 200}}}};
        self.builder->heartbeatReceived(self.self, beat, now());
        for (const auto &[other, entry] : instances) {
            if (other == inName || entry.self.failureDomain != self.self.failureDomain)
                continue;
            ++self.messages;
            send(inName, other, [this, from = self.self, beat](instance &ioTarget) {
                ioTarget.localHeard[from.instance] = now();
                ioTarget.builder->heartbeatReceived(from, beat, now());
            });
        }
        const std::vector<std::string> targets = self.links->targets(now());
        if (!targets.empty()) {
            sent_summary built{
                self.builder->build({{0, 1}}, self.links->heardDomains(now()), now()), {}};
            for (const fleet::summarized_instance &entry : built.body.instances)
                built.listed.insert(entry.instance);
            const std::size_t bytes = fleet::encode(built.body, now()).size();
            const auto summary = std::make_shared<const sent_summary>(std::move(built));
            for (const std::string &target : targets) {
                ++self.messages;
                ++self.summaries;
                self.bytes += bytes;
                send(inName, target, [this, summary](instance &ioTarget) {
                    receive(ioTarget, summary, ioTarget.self.instance);
                });
            }
        }
        self.builder->endPeriod();
    }

    void receive(instance &ioTarget, const std::shared_ptr<const sent_summary> &inSummary,
                 const std::string &inReceiver)
    {
        const fleet::domain_summary &body = inSummary->body;
        const std::pair<std::uint64_t, std::uint64_t> number(body.incarnation, body.sequence);
        auto &last = ioTarget.sequences[body.sender];
        if (number <= last)
            return;
        last = number;
        ioTarget.summariesHeard[body.domain] = {inSummary, now()};
        for (const fleet::summarized_instance &entry : body.instances) {
            for (const limits::account_use &use : entry.accountUses)
                ioTarget.totals[entry.instance] = use.amount;
        }
        ioTarget.links->summaryReceived({body.domain, body.sender, inReceiver}, inSummary->listed,
                                        body.heardDomains, now());
        if (inReceiver != ioTarget.self.instance)
            return;
        for (const auto &[peer, heard] : ioTarget.localHeard) {
            if (now() - heard > cLiveTimeout)
                continue;
            ++ioTarget.messages;
            send(ioTarget.self.instance, peer, [this, inSummary, inReceiver](instance &ioPeer) {
                receive(ioPeer, inSummary, inReceiver);
            });
        }
    }

    sim_options mOptions;
    std::mt19937 mRandom;
    duration mNow{};
    std::uint64_t mIncarnations = 0;
    std::multimap<duration, std::function<void()>> mEvents;
};

sim_options sized(int inInstances, unsigned inSeed = 1)
{
    const std::map<int, int> domains{{4, 3}, {27, 3}, {36, 3}, {78, 5}, {300, 15}, {1'500, 19}};
    return {.instances = inInstances, .domains = domains.at(inInstances), .seed = inSeed};
}

} // namespace

TEST_CASE("each pair of failure domains is linked by one instance of each, whatever the size")
{
    for (const int size : {4, 27, 78, 300, 1'500}) {
        sim_options options = sized(size);
        if (size > 300)
            options.maxDelay = 0ms;
        fleet_simulation fleet(options);
        fleet.run(size > 300 ? 400ms : 1s);
        fleet.instances.at("i0").charged = 7;
        const duration known = fleet.timeUntil([&] { return fleet.allKnowTotal("i0"); }, cTarget);
        CHECK(known <= 1s);
        fleet.resetCounters();
        const int periods = size > 300 ? 1 : 3;
        fleet.run(cPeriod * periods);
        std::size_t messages = 0;
        std::size_t most = 0;
        std::size_t summaries = 0;
        std::size_t bytes = 0;
        for (const auto &[name, entry] : fleet.instances) {
            messages += entry.messages;
            most = std::max(most, entry.messages);
            summaries += entry.summaries;
            bytes += entry.bytes;
        }
        const auto aSecond
            = [&](std::size_t inCount) { return inCount * 5 / static_cast<std::size_t>(periods); };
        std::cout << size << " instances, " << options.domains
                  << " domains: " << aSecond(messages) / static_cast<std::size_t>(size)
                  << " messages a second and instance, " << aSecond(most)
                  << " at most, a full mesh " << 5 * (size - 1) << "; " << aSecond(bytes) / 1000
                  << " kB/s between domains, total known after " << known.count() / 1000 << " ms\n";
        const auto pairs = static_cast<std::size_t>(options.domains)
            * static_cast<std::size_t>(options.domains - 1);
        CHECK(summaries <= pairs * static_cast<std::size_t>(periods + 1));
        CHECK(fleet.sendersBetween("d0", "d1").size() == 1);
    }
}

TEST_CASE("totals and deaths are known in time when the instance that links two domains dies")
{
    for (const int size : {4, 27, 78, 300}) {
        for (unsigned seed = 1; seed <= (size < 300 ? 4U : 1U); ++seed) {
            fleet_simulation fleet(sized(size, seed));
            fleet.run(2s);
            const std::string link = *fleet.sendersBetween("d0", "d1").begin();
            fleet.instances.at(link).running = false;
            const std::string peer = link == "i0" ? "i"
                    + std::to_string(fleet.instances.at("i0").self.failureDomain == "d0"
                                         ? sized(size).domains
                                         : 0)
                                                  : "i0";
            fleet.instances.at(peer).charged = 41;
            CHECK(fleet.timeUntil([&] { return fleet.allSee(link, false); }, cTarget) <= cTarget);
            CHECK(fleet.timeUntil([&] { return fleet.allKnowTotal(peer); }, cTarget) <= cTarget);
            CHECK(fleet.timeUntil([&] { return fleet.allSee(peer, true); }, cTarget) <= cTarget);
            fleet.instances.at(link).running = true;
            CHECK(fleet.timeUntil([&] { return fleet.allSee(link, true); }, cTarget) <= cTarget);
        }
    }
}

TEST_CASE("a link that is cut in one direction is replaced by other instances")
{
    for (const int size : {27, 78, 300}) {
        const auto cutOneWay = [](fleet_simulation &ioFleet) {
            ioFleet.run(2s);
            const std::string sender = *ioFleet.sendersBetween("d0", "d1").begin();
            std::string receiver;
            for (const std::string &target :
                 ioFleet.instances.at(sender).links->targets(ioFleet.now())) {
                if (ioFleet.instances.at(target).self.failureDomain == "d1")
                    receiver = target;
            }
            ioFleet.reaches = [=](const auto &inFrom, const auto &inTo) {
                return inFrom.self.instance != sender || inTo.self.instance != receiver;
            };
            ioFleet.run(500ms);
            ioFleet.instances.at("i0").charged = 17;
            return ioFleet.timeUntil([&] { return ioFleet.allKnowTotal("i0"); }, cTarget);
        };
        fleet_simulation fleet(sized(size));
        CHECK(cutOneWay(fleet) <= cTarget);
        if (size == 300)
            continue;
        // The search is what finds another instance.
        sim_options options = sized(size);
        options.links.summaryTimeout = 1h;
        fleet_simulation withoutSearch(options);
        CHECK(cutOneWay(withoutSearch) > cTarget);
    }
}

TEST_CASE("a sender that none of the other domain hears is replaced")
{
    for (const int size : {27, 78}) {
        fleet_simulation fleet(sized(size));
        fleet.run(2s);
        const std::string sender = *fleet.sendersBetween("d0", "d1").begin();
        fleet.reaches = [=](const auto &inFrom, const auto &inTo) {
            return inFrom.self.instance != sender || inTo.self.failureDomain == "d0";
        };
        fleet.run(500ms);
        fleet.instances.at(sender).charged = 5;
        CHECK(fleet.timeUntil([&] { return fleet.allKnowTotal(sender); }, cTarget) <= cTarget);
    }
}

TEST_CASE("a failure domain that is cut off knows it, goes on alone and returns")
{
    for (const int size : {4, 27, 78}) {
        fleet_simulation fleet(sized(size));
        fleet.run(2s);
        fleet.reaches = [](const auto &inFrom, const auto &inTo) {
            return (inFrom.self.failureDomain == "d0") == (inTo.self.failureDomain == "d0");
        };
        const auto isOutside
            = [](const auto &inObserver) { return inObserver.self.failureDomain != "d0"; };
        const auto isInside
            = [](const auto &inObserver) { return inObserver.self.failureDomain == "d0"; };
        CHECK(fleet.timeUntil([&] { return fleet.allSee("i0", false, isOutside); }, cTarget)
              <= cTarget);
        CHECK(fleet.timeUntil([&] { return fleet.allSee("i1", false, isInside); }, cTarget)
              <= cTarget);
        CHECK(fleet.allSee("i0", true, isInside));
        CHECK(fleet.allSee("i1", true, isOutside));
        fleet.run(4s);
        fleet.instances.at("i0").charged = 90;
        fleet.reaches = [](const auto &, const auto &) { return true; };
        CHECK(fleet.timeUntil([&] { return fleet.allKnowTotal("i0") && fleet.allSee("i0", true); },
                              cTarget)
              <= cTarget);
        CHECK(fleet.timeUntil([&] { return fleet.allSee("i1", true); }, cTarget) <= cTarget);
        fleet.run(2s);
        CHECK(fleet.sendersBetween("d0", "d1").size() == 1);
    }
}

TEST_CASE("summaries that are lost, doubled and overtake each other leave no wrong total")
{
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        sim_options options = sized(27, seed);
        options.loss = 0.1;
        options.duplication = 0.2;
        options.maxDelay = 150ms;
        fleet_simulation fleet(options);
        fleet.run(2s);
        for (int step = 0; step < 20; ++step) {
            fleet.instances.at("i0").charged += 10;
            fleet.run(100ms);
        }
        CHECK(fleet.timeUntil([&] { return fleet.allKnowTotal("i0"); }, 5s) <= 5s);
        fleet.run(2s);
        CHECK(fleet.allKnowTotal("i0"));
    }
}

TEST_CASE("an instance that is replaced by one at another address is found")
{
    fleet_simulation fleet(sized(4));
    fleet.run(2s);
    // i1 is alone in its domain.
    fleet.instances.at("i1").running = false;
    fleet.run(2s);
    fleet.add("new", "d1");
    fleet.updateMembers();
    CHECK(fleet.timeUntil([&] { return fleet.allSee("new", true); }, cTarget) <= cTarget);
    fleet.instances.at("new").charged = 3;
    CHECK(fleet.timeUntil([&] { return fleet.allKnowTotal("new"); }, cTarget) <= cTarget);
}
