// Guards against an index that keeps outdated values, because it shares parts with the index of the
// previous version that the change affected.

#include "corneltally/settings/change.h"
#include "corneltally/settings/settings_index.h"
#include "corneltally/settings/settings_tree.h"

#include <random>

#include <catch2/catch.hpp>

using namespace corneltally::settings;

namespace {

constexpr int cAdapters = 40;

const std::string cDigest(64, 'a');

settings_tree startTree()
{
    std::string text = "max_queue = 100\n[adapters]\nbase_model = \"base-1\"\n";
    for (int index = 0; index < cAdapters; ++index)
        text += "[adapters.a" + std::to_string(index) + "]\nversion = \"v0\"\n";
    text += "[accounts]\nrate_tokens_per_second = 10.0\nburst_tokens = 40.0\n[accounts.harbour]\n"
            "weight = 2.0\n[accounts.harbour.keys.k1]\ndigest = \""
        + cDigest + "\"\n";
    auto tree = settings_tree::sFromToml(text, "catalog_test.toml");
    REQUIRE(tree.hasValue());
    return *tree;
}

std::map<std::string, adapter_view> adaptersOf(const settings_index &inIndex)
{
    std::map<std::string, adapter_view> adapters;
    inIndex.forEachAdapter(
        [&](const adapter_view &inAdapter) { adapters.emplace(inAdapter.name, inAdapter); });
    return adapters;
}

void checkSame(const settings_index &inUpdated, const settings_index &inRebuilt)
{
    CHECK(inUpdated.version() == inRebuilt.version());
    CHECK(adaptersOf(inUpdated) == adaptersOf(inRebuilt));
    CHECK(inUpdated.accounts() == inRebuilt.accounts());
    CHECK(inUpdated.endpoints() == inRebuilt.endpoints());
    CHECK(inUpdated.instances() == inRebuilt.instances());
    CHECK(inUpdated.maxQueue() == inRebuilt.maxQueue());
    const key_view *updated = inUpdated.findKey(cDigest);
    const key_view *rebuilt = inRebuilt.findKey(cDigest);
    REQUIRE((updated == nullptr) == (rebuilt == nullptr));
    if (updated != nullptr)
        CHECK(*updated == *rebuilt);
}

/// A random change of a value, a default, a key or a whole node.
change randomChange(std::mt19937 &ioRandom, int inSequence)
{
    const std::string adapter = "/adapters/a" + std::to_string(ioRandom() % cAdapters);
    change next;
    next.id = "c" + std::to_string(inSequence);
    next.author = "test";
    const std::string version = "v" + std::to_string(inSequence);
    switch (ioRandom() % 8) {
    case 0:
        next.remove.push_back(adapter);
        break;
    case 1:
        next.set.push_back({"/adapters", "base_model", setting_value("base-" + version)});
        break;
    case 2:
        next.set.push_back(
            {"/accounts/harbour/keys/k1", "withdrawn", setting_value(ioRandom() % 2 == 0)});
        break;
    case 3:
        next.set.push_back({"/accounts/harbour", "weight", setting_value(1.0 + inSequence)});
        break;
    case 4:
        next.set.push_back({"/", "max_queue", setting_value(std::int64_t(10 + inSequence))});
        break;
    case 5:
        next.set.push_back({"/", "max_queue", std::nullopt});
        break;
    case 6:
        next.set.push_back({"/accounts/harbour", "weight", std::nullopt});
        break;
    default:
        next.set.push_back({adapter, "version", setting_value(version)});
    }
    return next;
}

} // namespace

TEST_CASE("an updated index equals a rebuilt one after every change")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        settings_tree tree = startTree();
        auto updated = std::make_unique<settings_index>(tree);
        int accepted = 0;
        for (int sequence = 1; sequence <= 120; ++sequence) {
            change next = randomChange(random, sequence);
            for (const auto &assignment : next.set)
                next.base[assignment.path] = tree.nodeVersion(assignment.path);
            for (const std::string &path : next.remove)
                next.base[path] = tree.nodeVersion(path);
            if (tree.applyInPlace(next, tree.version() + 1))
                continue;
            ++accepted;
            updated = std::make_unique<settings_index>(tree, settings_index::address_map(),
                                                       updated.get());
            checkSame(*updated, settings_index(tree));
        }
        CHECK(accepted > 60);
    }
}
