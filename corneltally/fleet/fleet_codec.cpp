#include "corneltally/fleet/fleet_codec.h"

#include "schemas/fleet_generated.h"

#include <memory>
#include <utility>

namespace corneltally::fleet {

namespace {

namespace wire = fleet_wire;

std::vector<std::unique_ptr<wire::HeldAdapterT>>
encodeResident(const std::map<std::string, std::uint64_t, std::less<>> &inAdapters)
{
    std::vector<std::unique_ptr<wire::HeldAdapterT>> list;
    for (const auto &[key, version] : inAdapters) {
        auto entry = std::make_unique<wire::HeldAdapterT>();
        entry->adapter = key;
        entry->version = version;
        list.push_back(std::move(entry));
    }
    return list;
}

std::vector<std::unique_ptr<wire::HeldAdapterT>>
encodeArriving(const std::map<std::string, engines::arriving_adapter, std::less<>> &inAdapters,
               core::time_point inNow)
{
    std::vector<std::unique_ptr<wire::HeldAdapterT>> list;
    for (const auto &[key, arriving] : inAdapters) {
        auto entry = std::make_unique<wire::HeldAdapterT>();
        entry->adapter = key;
        entry->version = arriving.version;
        entry->ready_in_us = (arriving.readyAt - inNow).count();
        list.push_back(std::move(entry));
    }
    return list;
}

using record_list = std::vector<std::unique_ptr<wire::OperatorRecordT>>;

wire::OperatorRecordT encodeRecord(const store::record &inRecord)
{
    wire::OperatorRecordT target;
    target.key = inRecord.key;
    target.offset = inRecord.offset;
    target.removed = !inRecord.value.has_value();
    if (inRecord.value)
        target.value.assign(inRecord.value->begin(), inRecord.value->end());
    return target;
}

store::record decodeRecord(const wire::OperatorRecordT &inBody)
{
    store::record record{.key = inBody.key, .offset = inBody.offset};
    if (!inBody.removed)
        record.value = std::string(inBody.value.begin(), inBody.value.end());
    return record;
}

record_list encodeRecords(const std::vector<store::record> &inRecords)
{
    record_list list;
    for (const store::record &record : inRecords)
        list.push_back(std::make_unique<wire::OperatorRecordT>(encodeRecord(record)));
    return list;
}

std::vector<store::record> decodeRecords(const record_list &inList)
{
    std::vector<store::record> records;
    for (const auto &entry : inList)
        records.push_back(decodeRecord(*entry));
    return records;
}

struct body_encoder
{
    core::time_point now;
    wire::BodyUnion body;

    void operator()(const hello &inHello)
    {
        wire::HelloT target;
        target.instance = inHello.instance;
        target.machine = inHello.machine;
        target.address = inHello.address;
        target.failure_domain = inHello.failureDomain;
        target.incarnation = inHello.incarnation;
        target.operator_end = inHello.operatorEnd;
        body.Set(std::move(target));
    }

    void operator()(const heartbeat &inHeartbeat)
    {
        wire::HeartbeatT target;
        target.operator_end = inHeartbeat.operatorEnd;
        target.draining = inHeartbeat.draining;
        target.hears_receiver = inHeartbeat.receiverLive;
        for (const limits::account_use &use : inHeartbeat.accountUses) {
            auto entry = std::make_unique<wire::AccountUseT>();
            entry->account = use.account;
            entry->amount = use.amount;
            target.account_uses.push_back(std::move(entry));
        }
        for (const auto &[endpoint, load] : inHeartbeat.loads)
            target.loads.emplace_back(endpoint, static_cast<float>(load.promptTokens),
                                      static_cast<float>(load.memoryTokens), load.requests);
        target.adapter_uses = inHeartbeat.adapterUses;
        target.adapters_running = inHeartbeat.adaptersRunning;
        for (const answer_pause &seen : inHeartbeat.pauses)
            target.pauses.emplace_back(seen.endpoint, static_cast<int>(seen.pause.count()));
        body.Set(std::move(target));
    }

    void operator()(const load_wanted &inWanted)
    {
        wire::LoadWantedT target;
        target.endpoint = inWanted.endpoint;
        target.started_ms = inWanted.startedMs;
        target.model = inWanted.model;
        target.adapter = inWanted.adapter;
        target.version = inWanted.version;
        target.tokens = inWanted.tokens;
        body.Set(std::move(target));
    }

    void operator()(const adapter_missing &inMissing)
    {
        wire::AdapterMissingT target;
        target.endpoint = inMissing.endpoint;
        target.started_ms = inMissing.startedMs;
        target.adapter = inMissing.adapter;
        body.Set(std::move(target));
    }

    void operator()(const adapter_running &inRunning)
    {
        wire::AdapterRunningT target;
        target.endpoint = inRunning.endpoint;
        target.started_ms = inRunning.startedMs;
        target.adapter = inRunning.adapter;
        target.running = inRunning.running;
        body.Set(std::move(target));
    }

    void operator()(const engine_state &inState)
    {
        wire::EngineStateT target;
        target.endpoint = inState.endpoint;
        target.started_ms = inState.startedMs;
        target.ready = inState.ready;
        target.resident = encodeResident(inState.adapters.resident);
        target.arriving = encodeArriving(inState.adapters.arriving, now);
        target.models = inState.models;
        target.queued = inState.queued;
        body.Set(std::move(target));
    }

    void operator()(const operator_records_wanted &inWanted)
    {
        wire::OperatorRecordsWantedT target;
        target.from = inWanted.from;
        body.Set(target);
    }

    void operator()(const operator_records &inRecords)
    {
        wire::OperatorRecordsT target;
        target.records = encodeRecords(inRecords.records);
        target.from = inRecords.from;
        target.end = inRecords.end;
        body.Set(std::move(target));
    }

    void operator()(const endpoint_records &inRecords)
    {
        wire::EndpointRecordsT target;
        target.records = encodeRecords(inRecords.records);
        target.from = inRecords.from;
        target.end = inRecords.end;
        body.Set(std::move(target));
    }
};

message decodeHeartbeat(const wire::HeartbeatT &inBody)
{
    heartbeat decoded{.operatorEnd = inBody.operator_end,
                      .draining = inBody.draining,
                      .receiverLive = inBody.hears_receiver,
                      .adapterUses = inBody.adapter_uses,
                      .adaptersRunning = inBody.adapters_running};
    for (const auto &use : inBody.account_uses)
        decoded.accountUses.push_back({use->account, use->amount});
    for (const wire::AnswerPause &seen : inBody.pauses)
        decoded.pauses.push_back({seen.endpoint(), std::chrono::milliseconds(seen.pause_ms())});
    for (const wire::EndpointLoad &load : inBody.loads)
        decoded.loads[load.endpoint()]
            = {load.requests(), load.prompt_tokens(), load.memory_tokens()};
    return decoded;
}

message decodeState(const wire::EngineStateT &inBody, core::time_point inNow)
{
    engine_state decoded{.endpoint = inBody.endpoint,
                         .startedMs = inBody.started_ms,
                         .ready = inBody.ready,
                         .models = inBody.models,
                         .queued = inBody.queued};
    for (const auto &entry : inBody.resident)
        decoded.adapters.resident[entry->adapter] = entry->version;
    for (const auto &entry : inBody.arriving)
        decoded.adapters.arriving[entry->adapter]
            = {entry->version, inNow + core::duration(entry->ready_in_us)};
    return decoded;
}

} // namespace

std::string encode(const message &inMessage, core::time_point inNow)
{
    body_encoder encoder{.now = inNow, .body = {}};
    std::visit(encoder, inMessage);
    wire::EnvelopeT envelope;
    envelope.body = std::move(encoder.body);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Envelope::Pack(builder, &envelope));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<message> decode(std::string_view inBytes, core::time_point inNow)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(inBytes.data());
    flatbuffers::Verifier verifier(bytes, inBytes.size());
    if (!wire::VerifyEnvelopeBuffer(verifier))
        return std::nullopt;
    wire::EnvelopeT envelope;
    wire::GetEnvelope(bytes)->UnPackTo(&envelope);
    if (const auto *body = envelope.body.AsHello())
        return hello{body->instance,       body->machine,     body->address,
                     body->failure_domain, body->incarnation, body->operator_end};
    if (const auto *body = envelope.body.AsHeartbeat())
        return decodeHeartbeat(*body);
    if (const auto *body = envelope.body.AsLoadWanted())
        return load_wanted{body->endpoint, body->started_ms, body->model,
                           body->adapter,  body->version,    body->tokens};
    if (const auto *body = envelope.body.AsAdapterMissing())
        return adapter_missing{body->endpoint, body->started_ms, body->adapter};
    if (const auto *body = envelope.body.AsAdapterRunning())
        return adapter_running{body->endpoint, body->started_ms, body->adapter, body->running};
    if (const auto *body = envelope.body.AsEngineState())
        return decodeState(*body, inNow);
    // A single record proves nothing about the records before it, so the range stays empty.
    if (const auto *body = envelope.body.AsOperatorRecord())
        return operator_records{.records = {decodeRecord(*body)}};
    if (const auto *body = envelope.body.AsOperatorRecordsWanted())
        return operator_records_wanted{body->from};
    if (const auto *body = envelope.body.AsOperatorRecords())
        return operator_records{decodeRecords(body->records), body->from, body->end};
    if (const auto *body = envelope.body.AsEndpointRecords())
        return endpoint_records{decodeRecords(body->records), body->from, body->end};
    return std::nullopt;
}

} // namespace corneltally::fleet
