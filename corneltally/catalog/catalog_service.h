#pragma once

#include "corneltally/catalog/catalog_messages.h"
#include "corneltally/catalog/endpoint_entries.h"
#include "corneltally/catalog/evacuation_messages.h"
#include "corneltally/catalog/evacuation_tracker.h"
#include "corneltally/catalog/operator_records.h"
#include "corneltally/catalog/record_catch_up.h"
#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/routing/routing_table.h"
#include "corneltally/store/store_client.h"
#include "corneltally/store/topic_follower.h"
#include "platform/document_codec.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::catalog {

/// Options of the catalog service: the topics of the store and the timing of their reads.
struct catalog_options
{
    /// Name of this instance.
    std::string instance;
    std::string operatorTopic;
    std::string endpointTopic;
    std::string fleetTopic;
    /// Time that a read of the operator records waits at the store. The wait is long since each
    /// call to the store is priced. It also bounds how late a dead connection is noticed; until
    /// then other instances relay the records, and the endpoint reader detects an unavailable
    /// store within 2 s.
    core::duration operatorWait = std::chrono::milliseconds(8000);
    /// The same for the read after one that returned records.
    core::duration operatorFollowUpWait = std::chrono::milliseconds(300);
    /// The same for the fleet topic, until the orders service asks for another wait.
    core::duration fleetWait = std::chrono::milliseconds(2200);
    /// Longest such waits while other instances rely on the reads of this one. The holders of
    /// engines must see a read of the fleet topic that is more recent than 4 s.
    core::duration operatorReaderWait = std::chrono::milliseconds(2500);
    core::duration fleetReaderWait = std::chrono::milliseconds(1000);
    /// Own reads resume this long after the last message of the reader. With the reader's wait and
    /// pause the last confirmed read is then 3.3 s old.
    core::duration relayTimeout = std::chrono::milliseconds(1900);
    /// The same for the operator records, by the longer wait of the reader's reads.
    core::duration operatorRelayTimeout = std::chrono::milliseconds(3600);
    /// Operator records up to this size are relayed by the reader as it reads them. The others
    /// fetch larger ones from the store, which has faster links.
    std::size_t maxRelayedRecordBytes = 64 * 1024;
    /// Time that the reader has to relay operator records of which other instances tell.
    core::duration operatorRelayTime = std::chrono::milliseconds(250);
    /// Pause between reads of the fleet topic. Each record ends the waiting reads of all instances;
    /// the pause lets one read return all records that arrive in quick succession.
    core::duration fleetPause = std::chrono::milliseconds(300);
    /// Pause between reads of the endpoint entries, which are renewed continuously. A leaving
    /// endpoint must not get new requests later than 2 s after its notice.
    core::duration endpointPause = std::chrono::milliseconds(700);
    /// Pause after the first read of the endpoint entries and of the fleet topic, in which the
    /// reader of the failure domain may begin to relay.
    core::duration firstPause = std::chrono::milliseconds(800);
    catch_up_options catchUp;
};

/// Follows the operator records, the endpoint entries and the fleet topic, and notifies the other
/// services of changes. The version of the configuration in force never decreases.
template <store::store_client Client>
class catalog_service final : public kernel::service
{
public:
    catalog_service(kernel::service_registry &ioRegistry, core::metrics &ioMetrics,
                    std::unique_ptr<Client> inClient, const catalog_options &inOptions)
        : mRegistry(ioRegistry)
        , mMetrics(ioMetrics)
        , mClient(std::move(inClient))
        , mOptions(inOptions)
        , mOperator(ioRegistry.loop(), *mClient, inOptions.operatorTopic,
                    {.wait = inOptions.operatorWait,
                     .followUpWait = inOptions.operatorFollowUpWait,
                     .relayTimeout = inOptions.operatorRelayTimeout},
                    [this](const store::topic_update &inUpdate) { operatorUpdated(inUpdate); })
        , mEndpoints(ioRegistry.loop(), *mClient, inOptions.endpointTopic,
                     {.pause = inOptions.endpointPause, .firstPause = inOptions.firstPause},
                     [this](const store::topic_update &inUpdate) { endpointsUpdated(inUpdate); })
        , mFleet(ioRegistry.loop(), *mClient, inOptions.fleetTopic,
                 {.wait = inOptions.fleetWait,
                  .pause = inOptions.fleetPause,
                  .firstPause = inOptions.firstPause,
                  .relayTimeout = inOptions.relayTimeout},
                 [this](const store::topic_update &inUpdate) { fleetUpdated(inUpdate); })
        , mCheckTimer(ioRegistry.loop(), [this] { checkStore(); })
        , mOperatorRelayTimer(ioRegistry.loop(),
                              [this] { readMissingRecords(mCatchUp.reportedEnd()); })
        , mCatchUp(inOptions.instance, inOptions.catchUp)
        , mEvacuations(ioRegistry, ioMetrics)
        , mEntries(ioRegistry, ioMetrics)
    {
        mRegistry.handle<fleet_topic_append>(
            cName, [this](const fleet_topic_append &inAppend) { append(inAppend); });
        mRegistry.handle<fleet_topic_poll>(cName,
                                           [this](const fleet_topic_poll &) { mFleet.poll(); });
        mRegistry.handle<fleet_topic_wait_changed>(
            cName, [this](const fleet_topic_wait_changed &inChanged) {
                mFleetWait = inChanged.wait;
                updateWaits();
            });
        mRegistry.handle<local_peer_heard>(cName, [this](const local_peer_heard &inHeard) {
            mPeersHeard.insert_or_assign(inHeard.instance, inHeard);
        });
        mRegistry.handle<fleet_records_received>(
            cName, [this](const fleet_records_received &inReceived) {
                if (!mReader.reads && !mFleet.acceptRelayed(inReceived.update))
                    mMetrics.count("relayed_records_refused_total");
            });
        mFleet.onReadStarted([this] { mPeersAtRead = mPeersHeard; });
        mRegistry.handle<operator_records_received>(
            cName, [this](const operator_records_received &inReceived) {
                operatorRecordsReceived(inReceived);
                if (!mReader.reads)
                    mOperator.postpone();
            });
        mRegistry.handle<operator_records_skipped>(
            cName, [this](const operator_records_skipped &inSkipped) {
                if (!mReader.reads)
                    mOperator.postpone();
                readMissingRecords(inSkipped.end);
            });
        mRegistry.handle<operator_progress_reported>(
            cName, [this](const operator_progress_reported &inReported) {
                operatorProgressReported(inReported);
            });
        mRegistry.handle<reader_changed>(
            cName, [this](const reader_changed &inChanged) { readerChanged(inChanged); });
        mRegistry.handle<endpoint_records_received>(
            cName, [this](const endpoint_records_received &inReceived) {
                if (mReader.reads)
                    return;
                if (!mEndpoints.acceptRelayed(inReceived.update))
                    mMetrics.count("relayed_records_refused_total");
            });
        mRegistry.handle<operator_records_requested>(
            cName, [this](const operator_records_requested &inRequested) {
                relayOperatorRecords(inRequested);
            });
        mRegistry.handle<operator_records_poll>(
            cName, [this](const operator_records_poll &) { mOperator.poll(); });
        mRegistry.handle<evacuation_unknown>(cName, [this](const evacuation_unknown &inUnknown) {
            // An empty range: the receiver may lack records before these.
            mRegistry.broadcast(
                operator_records_relay{inUnknown.instance, mEvacuations.records().all()});
        });
    }

    static constexpr std::string_view cName = "catalog";

    std::string_view name() const override { return cName; }

    std::string dump() const override
    {
        return "{\"evacuations\":" + mEvacuations.dump(core::boot_clock::now()) + "}";
    }

    void start() override
    {
        mOperator.start();
        mEndpoints.start();
        mFleet.start();
        mCheckTimer.startRepeating(cCheckPeriod);
    }

private:
    static constexpr core::duration cCheckPeriod = std::chrono::milliseconds(500);

    /// Operator records are relayed in messages of about this size, so that heartbeats are not
    /// delayed by long transfers.
    static constexpr std::size_t cMaxRelayBytes = 256 * 1024;

    void readerChanged(const reader_changed &inChanged)
    {
        const bool begins = inChanged.reads && !mReader.reads;
        mReader = inChanged;
        updateWaits();
        if (!mReader.reads)
            mPeersHeard.clear();
        if (!begins)
            return;
        mOperator.readSoon();
        mEndpoints.readSoon();
        mFleet.readSoon();
    }

    /// Reads on which other instances rely wait less at the store, so that a dead connection or an
    /// unavailable store is noticed in time for all.
    void updateWaits()
    {
        const bool isRelied = mReader.reads && mReader.hasLocalPeers;
        mFleet.setWait(isRelied ? std::min(mFleetWait, mOptions.fleetReaderWait) : mFleetWait);
        mOperator.setWait(isRelied ? mOptions.operatorReaderWait : mOptions.operatorWait);
    }

    /// Reads all topics anew if the store was restored from an older copy. Their reads in flight
    /// may wait at a process that is gone, or for an offset that the store will give out again.
    void eraObserved(std::uint64_t inEra, std::string_view inSource)
    {
        if (inEra <= mEra)
            return;
        core::logEvent(core::log_level::info, "store_era",
                       {{"era", inEra},
                        {"era_before", mEra},
                        {"source", inSource},
                        {"operator_end", mCatchUp.progress().end.toString()},
                        {"fleet_end", mFleet.end().toString()},
                        {"endpoints_end", mEndpoints.end().toString()}});
        mEra = inEra;
        mMetrics.setGauge("store_era", static_cast<double>(inEra));
        mMetrics.count("store_eras_total");
        mOperator.eraBegan(inEra);
        mFleet.eraBegan(inEra);
        mEndpoints.eraBegan(inEra);
    }

    void fleetUpdated(const store::topic_update &inUpdate)
    {
        eraObserved(inUpdate.end.era(), mOptions.fleetTopic);
        mRegistry.broadcast(fleet_topic_updated{inUpdate});
        if (!mReader.reads || !mReader.hasLocalPeers)
            return;
        fleet_records_relay relay{inUpdate, {}};
        for (const auto &[instance, heard] : mPeersAtRead)
            relay.echoes.push_back(heard);
        mRegistry.broadcast(relay);
    }

    void operatorUpdated(const store::topic_update &inUpdate)
    {
        eraObserved(inUpdate.end.era(), mOptions.operatorTopic);
        std::size_t bytes = 0;
        // Evacuations come first, so that no request is sent on a configuration without them.
        mEvacuations.apply(inUpdate.records, inUpdate.from, inUpdate.end, "store",
                           core::boot_clock::now());
        for (const store::record &record : inUpdate.records) {
            applyOperatorRecord(record, "store");
            bytes += record.value ? record.value->size() : 0;
        }
        updateProgress(inUpdate.end);
        mRegistry.broadcast(operator_records_confirmed{inUpdate.asOf});
        if (!mReader.reads || !mReader.hasLocalPeers)
            return;
        // Without records it tells that the topic is being read.
        operator_records_read read{.from = inUpdate.from, .end = inUpdate.end};
        if (!inUpdate.complete && bytes <= mOptions.maxRelayedRecordBytes)
            read.records = inUpdate.records;
        mRegistry.broadcast(read);
    }

    void operatorRecordsReceived(const operator_records_received &inReceived)
    {
        mEvacuations.apply(inReceived.records, inReceived.from, inReceived.end, "instance",
                           core::boot_clock::now());
        for (const store::record &record : inReceived.records)
            applyOperatorRecord(record, "instance");
        // Without the records before them these prove nothing about what is known.
        const store::position end = mCatchUp.progress().end;
        updateProgress(inReceived.from <= end ? inReceived.end : end);
    }

    void operatorProgressReported(const operator_progress_reported &inReported)
    {
        eraObserved(inReported.progress.end.era(), inReported.instance);
        const core::time_point now = core::boot_clock::now();
        mCatchUp.peerReported(inReported.instance, inReported.progress, now);
        // No read waits at the store while the reader of the failure domain reads this topic.
        if (mOperator.isPostponed() && inReported.progress.end > mCatchUp.progress().end
            && !mOperatorRelayTimer.isPending())
            mOperatorRelayTimer.startOnce(mOptions.operatorRelayTime);
        const auto peer = mCatchUp.peerToAsk(mOperator.isFailing(), now);
        if (!peer)
            return;
        // The peer may know of the end of an evacuation only by the absence of its record, which a
        // relay of the range with this record shows.
        const operator_progress &progress = mCatchUp.progress();
        const store::position from = mEvacuations.records().firstInForce(progress.end);
        core::logEvent(core::log_level::info, "operator_records_requested",
                       {{"peer", *peer},
                        {"from", from.toString()},
                        {"end", progress.end.toString()},
                        {"reported_end", mCatchUp.reportedEnd().toString()},
                        {"configuration", progress.configuration},
                        {"store_failing", mOperator.isFailing()}});
        mMetrics.count("operator_records_requested_total");
        mRegistry.broadcast(operator_records_request{*peer, from});
    }

    /// Reads the operator records at the store if the reader has not relayed them.
    void readMissingRecords(store::position inEnd)
    {
        if (inEnd <= mCatchUp.progress().end || inEnd <= mOperatorEndRead)
            return;
        mOperatorEndRead = inEnd;
        mOperator.poll();
    }

    void updateProgress(store::position inEnd)
    {
        const operator_progress before = mCatchUp.progress();
        mCatchUp.received(inEnd, core::boot_clock::now());
        mCatchUp.configurationApplied(mVersion, core::boot_clock::now());
        if (mCatchUp.progress() != before)
            mRegistry.broadcast(operator_progress_changed{mCatchUp.progress()});
    }

    void applyOperatorRecord(const store::record &inRecord, std::string_view inSource)
    {
        if (!inRecord.value || evacuation_tracker::sIsEvacuation(inRecord))
            return;
        if (mOperatorRecords.has(inRecord)) {
            countRepeated(inSource);
            return;
        }
        if (inRecord.key == platform::cConfigurationKey) {
            applyConfiguration(inRecord, inSource);
            return;
        }
        const auto named = platform::decodeNamedVersion(inRecord.key, *inRecord.value);
        const bool isNewer = mOperatorRecords.add(inRecord, named ? named->version : 0);
        if (!isNewer) {
            countRepeated(inSource);
        } else if (named) {
            core::logEvent(core::log_level::info, "adapter_version_named",
                           {{"model", named->model},
                            {"adapter", named->adapter},
                            {"version", named->version},
                            {"source", inSource}});
            mRegistry.broadcast(
                adapter_version_named{named->model, named->adapter, named->version});
        }
    }

    void countRepeated(std::string_view inSource)
    {
        mMetrics.count("operator_records_repeated_total{source=\"" + std::string(inSource) + "\"}");
    }

    void applyConfiguration(const store::record &inRecord, std::string_view inSource)
    {
        auto decoded = platform::decodeConfiguration(*inRecord.value);
        if (!decoded) {
            core::logEvent(core::log_level::error, "configuration_invalid",
                           {{"position", inRecord.position.toString()},
                            {"reason", decoded.reason().message},
                            {"remedy", decoded.reason().remedy}});
            mMetrics.count("configurations_total{outcome=\"invalid\"}");
            return;
        }
        if (!mOperatorRecords.add(inRecord, decoded->version) || decoded->version <= mVersion) {
            countRepeated(inSource);
            return;
        }
        mVersion = decoded->version;
        core::logEvent(core::log_level::info, "configuration_in_force",
                       {{"version", mVersion},
                        {"position", inRecord.position.toString()},
                        {"source", inSource},
                        {"bytes", inRecord.value->size()},
                        {"routes", decoded->routes.size()},
                        {"accounts", decoded->accounts.size()}});
        mMetrics.count("configurations_total{outcome=\"applied\"}");
        mMetrics.setGauge("configuration_version", static_cast<double>(mVersion));
        mRegistry.broadcast(configuration_changed{
            std::make_shared<const routing::routing_table>(std::move(decoded).value())});
    }

    /// The newest operator records that an instance may lack which asks for those from a position
    /// on, in the order of their positions, with the deletions of evacuations.
    std::vector<store::record> operatorRecordsFrom(store::position inFrom) const
    {
        std::vector<store::record> records = mOperatorRecords.missingAt(inFrom);
        std::ranges::copy_if(
            mEvacuations.records().all(), std::back_inserter(records),
            [&](const store::record &inRecord) { return inRecord.position >= inFrom; });
        std::ranges::sort(records, {}, &store::record::position);
        return records;
    }

    /// Relays records in parts. Each covers the range after the one before it, so that a transfer
    /// that breaks off leaves no gap. The first one also has all evacuations, since the receiver
    /// would end one whose record was deleted and written again when it gets the former's range.
    void relayOperatorRecords(const operator_records_requested &inRequested)
    {
        std::size_t count = 0;
        std::size_t bytes = 0;
        std::size_t partBytes = 0;
        operator_records_relay part{.instance = inRequested.instance, .from = inRequested.from};
        for (store::record &record : operatorRecordsFrom(inRequested.from)) {
            if (partBytes >= cMaxRelayBytes) {
                if (part.from == inRequested.from)
                    std::ranges::copy(mEvacuations.records().all(),
                                      std::back_inserter(part.records));
                // Lost records of earlier eras come first and belong to no range.
                part.end = std::max(part.from, record.position);
                mRegistry.broadcast(part);
                part.records.clear();
                part.from = part.end;
                partBytes = 0;
            }
            ++count;
            const std::size_t size = record.value ? record.value->size() : 0;
            bytes += size;
            partBytes += size;
            part.records.push_back(std::move(record));
        }
        part.end = mCatchUp.progress().end;
        mRegistry.broadcast(part);
        mMetrics.count("operator_records_relayed_total", count);
        mMetrics.count("operator_record_bytes_relayed_total", bytes);
        core::logEvent(core::log_level::info, "operator_records_relayed",
                       {{"peer", inRequested.instance},
                        {"from", inRequested.from.toString()},
                        {"end", mCatchUp.progress().end.toString()},
                        {"records", count},
                        {"bytes", bytes}});
    }

    void endpointsUpdated(const store::topic_update &inUpdate)
    {
        eraObserved(inUpdate.end.era(), mOptions.endpointTopic);
        // Reads that were waiting at the store before the failure may never be answered.
        if (inUpdate.afterFailure) {
            mOperator.restart();
            mFleet.restart();
        }
        store::topic_update changes{.from = inUpdate.from, .end = inUpdate.end};
        changes.records = mEntries.apply(inUpdate, core::boot_clock::now());
        if (!inUpdate.complete && mReader.reads)
            mRegistry.broadcast(endpoint_records_relay{std::move(changes)});
    }

    void append(const fleet_topic_append &inAppend)
    {
        mMetrics.count("store_appends_total");
        // The offset may have been given out again since the sender read the topic.
        if (inAppend.expectedEnd && inAppend.expectedEnd->era() < mEra) {
            mRegistry.post(inAppend.sender,
                           fleet_topic_append_ended{{store::append_result::status::conflict}});
            return;
        }
        mClient->append(mOptions.fleetTopic, inAppend.records, inAppend.expectedEnd,
                        [this, sender = inAppend.sender](const store::append_result &inResult) {
                            eraObserved(inResult.era, "append");
                            if (inResult.outcome == store::append_result::status::conflict)
                                mFleet.readSoon();
                            mRegistry.post(sender, fleet_topic_append_ended{inResult});
                        });
    }

    void checkStore()
    {
        mEvacuations.update(core::boot_clock::now());
        mEntries.update(core::boot_clock::now());
        const bool failing = mEndpoints.isFailing();
        if (failing != mStoreFailing) {
            mStoreFailing = failing;
            mRegistry.broadcast(store_failing_changed{failing});
        }
        const bool unavailable
            = mEndpoints.isLoaded() && mEndpoints.isUnavailable(core::boot_clock::now());
        if (unavailable == mStoreUnavailable)
            return;
        mStoreUnavailable = unavailable;
        mMetrics.setGauge("store_available", unavailable ? 0 : 1);
        core::logEvent(unavailable ? core::log_level::warning : core::log_level::info,
                       unavailable ? "store_lost" : "store_regained");
    }

    kernel::service_registry &mRegistry;
    core::metrics &mMetrics;
    std::unique_ptr<Client> mClient;
    catalog_options mOptions;
    store::topic_follower<Client> mOperator;
    store::topic_follower<Client> mEndpoints;
    store::topic_follower<Client> mFleet;
    kernel::timer mCheckTimer;
    kernel::timer mOperatorRelayTimer;
    record_catch_up mCatchUp;
    evacuation_tracker mEvacuations;
    operator_records mOperatorRecords;
    std::uint64_t mVersion = 0;
    /// Greatest era of the store of which an answer or another instance told.
    std::uint64_t mEra = 0;
    endpoint_entries mEntries;
    bool mStoreUnavailable = false;
    bool mStoreFailing = false;
    reader_changed mReader;
    /// Wait of reads of the fleet topic that the orders service asked for.
    core::duration mFleetWait = mOptions.fleetWait;
    /// Greatest end of the operator records for which a read was started after a report.
    store::position mOperatorEndRead;
    /// Last heartbeats of the other instances of the failure domain, now and when the read of the
    /// fleet topic in flight began.
    std::map<std::string, local_peer_heard> mPeersHeard;
    std::map<std::string, local_peer_heard> mPeersAtRead;
};

} // namespace corneltally::catalog
