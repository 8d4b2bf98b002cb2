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

template <typename Table>
void encodeProgress(const catalog::operator_progress &inProgress, Table &ioTarget)
{
    ioTarget.operator_end = inProgress.end.offset();
    ioTarget.operator_era = inProgress.end.era();
    ioTarget.configuration = inProgress.configuration;
}

template <typename Table>
catalog::operator_progress decodeProgress(const Table &inBody)
{
    return {{inBody.operator_era, inBody.operator_end}, inBody.configuration};
}

/// Encodes the positions between which a message has records.
template <typename Message, typename Table>
void encodeRange(const Message &inMessage, Table &ioTarget)
{
    ioTarget.from = inMessage.from.offset();
    ioTarget.from_era = inMessage.from.era();
    ioTarget.end = inMessage.end.offset();
    ioTarget.end_era = inMessage.end.era();
}

using record_list = std::vector<std::unique_ptr<wire::OperatorRecordT>>;

wire::OperatorRecordT encodeRecord(const store::record &inRecord)
{
    wire::OperatorRecordT target;
    target.key = inRecord.key;
    target.offset = inRecord.position.offset();
    target.era = inRecord.position.era();
    target.removed = !inRecord.value.has_value();
    if (inRecord.value)
        target.value.assign(inRecord.value->begin(), inRecord.value->end());
    return target;
}

store::record decodeRecord(const wire::OperatorRecordT &inBody)
{
    store::record record{.key = inBody.key, .position = {inBody.era, inBody.offset}};
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

wire::EngineStateT encodeState(const engine_state &inState, core::time_point inNow)
{
    wire::EngineStateT target;
    target.endpoint = inState.endpoint;
    target.started_ms = inState.startedMs;
    target.ready = inState.ready;
    target.resident = encodeResident(inState.adapters.resident);
    target.arriving = encodeArriving(inState.adapters.arriving, inNow);
    target.models = inState.models;
    target.queued = inState.queued;
    return target;
}

std::vector<wire::EndpointLoad>
encodeLoads(const std::map<engines::endpoint_digest, engines::endpoint_load> &inLoads)
{
    std::vector<wire::EndpointLoad> list;
    list.reserve(inLoads.size());
    for (const auto &[endpoint, load] : inLoads)
        list.emplace_back(endpoint, static_cast<float>(load.promptTokens),
                          static_cast<float>(load.memoryTokens), load.requests);
    return list;
}

std::map<engines::endpoint_digest, engines::endpoint_load>
decodeLoads(const std::vector<wire::EndpointLoad> &inList)
{
    std::map<engines::endpoint_digest, engines::endpoint_load> loads;
    for (const wire::EndpointLoad &load : inList)
        loads[load.endpoint()] = {load.requests(), load.prompt_tokens(), load.memory_tokens()};
    return loads;
}

std::vector<wire::AnswerInterval> encodeIntervals(const std::vector<answer_interval> &inIntervals)
{
    std::vector<wire::AnswerInterval> list;
    list.reserve(inIntervals.size());
    for (const answer_interval &seen : inIntervals)
        list.emplace_back(seen.endpoint, static_cast<int>(seen.interval.count()));
    return list;
}

std::vector<answer_interval> decodeIntervals(const std::vector<wire::AnswerInterval> &inList)
{
    std::vector<answer_interval> intervals;
    intervals.reserve(inList.size());
    for (const wire::AnswerInterval &seen : inList)
        intervals.push_back({seen.endpoint(), std::chrono::microseconds(seen.interval_us())});
    return intervals;
}

std::vector<wire::AnswerPause> encodePauses(const std::vector<answer_pause> &inPauses)
{
    std::vector<wire::AnswerPause> list;
    list.reserve(inPauses.size());
    for (const answer_pause &seen : inPauses)
        list.emplace_back(seen.endpoint, static_cast<int>(seen.pause.count()));
    return list;
}

std::vector<answer_pause> decodePauses(const std::vector<wire::AnswerPause> &inList)
{
    std::vector<answer_pause> pauses;
    pauses.reserve(inList.size());
    for (const wire::AnswerPause &seen : inList)
        pauses.push_back({seen.endpoint(), std::chrono::milliseconds(seen.pause_ms())});
    return pauses;
}

std::vector<wire::ColdEndpoint> encodeCold(const std::map<std::uint64_t, core::duration> &inCold)
{
    std::vector<wire::ColdEndpoint> list;
    list.reserve(inCold.size());
    for (const auto &[start, remaining] : inCold)
        list.emplace_back(start, remaining.count());
    return list;
}

std::map<std::uint64_t, core::duration> decodeCold(const std::vector<wire::ColdEndpoint> &inList)
{
    std::map<std::uint64_t, core::duration> cold;
    for (const wire::ColdEndpoint &entry : inList)
        cold[entry.start()] = core::duration(entry.remaining_us());
    return cold;
}

std::unique_ptr<wire::QuarantineStateT>
encodeQuarantine(const quarantine::quarantine_state &inState, core::time_point inNow)
{
    if (inState == quarantine::quarantine_state())
        return nullptr;
    auto target = std::make_unique<wire::QuarantineStateT>();
    for (const auto &[start, loss] : inState.losses) {
        auto entry = std::make_unique<wire::EndpointLossT>();
        entry->start = start;
        entry->at_us = (loss.at - inNow).count();
        for (const auto &[part, parent] : loss.parts)
            entry->parts.emplace_back(part, parent);
        target->losses.push_back(std::move(entry));
    }
    for (const auto &[subject, at] : inState.answers)
        target->answers.emplace_back(subject, (at - inNow).count());
    for (const auto &[part, state] : inState.parts)
        target->parts.emplace_back(part, (state.since - inNow).count(),
                                   (state.until - inNow).count(), state.round, state.cleared);
    return target;
}

quarantine::quarantine_state decodeQuarantine(const wire::QuarantineStateT *inBody,
                                              core::time_point inNow)
{
    quarantine::quarantine_state decoded;
    if (inBody == nullptr)
        return decoded;
    const auto timeOf = [&](std::int64_t inRelative) { return inNow + core::duration(inRelative); };
    for (const auto &entry : inBody->losses) {
        quarantine::endpoint_loss &loss = decoded.losses[entry->start];
        loss.at = timeOf(entry->at_us);
        for (const wire::LostPart &part : entry->parts)
            loss.parts.emplace(part.part(), part.parent());
    }
    for (const wire::LastAnswer &answer : inBody->answers)
        decoded.answers[answer.subject()] = timeOf(answer.at_us());
    for (const wire::QuarantinedPart &part : inBody->parts)
        decoded.parts[part.part()]
            = {part.round(), part.cleared(), timeOf(part.since_us()), timeOf(part.until_us())};
    return decoded;
}

void encodeInstances(const std::vector<summarized_instance> &inInstances,
                     wire::DomainSummaryT &ioTarget)
{
    std::map<std::string, std::uint16_t> accounts;
    for (std::size_t index = 0; index < inInstances.size(); ++index) {
        const summarized_instance &instance = inInstances[index];
        auto entry = std::make_unique<wire::SummarizedInstanceT>();
        entry->instance = instance.instance;
        entry->machine = instance.machine;
        entry->address = instance.address;
        entry->incarnation = instance.incarnation;
        entry->draining = instance.draining;
        entry->protocol = instance.protocol;
        ioTarget.instances.push_back(std::move(entry));
        for (const limits::account_use &use : instance.accountUses) {
            const auto [known, isNew] = accounts.try_emplace(
                use.account, static_cast<std::uint16_t>(ioTarget.accounts.size()));
            if (isNew)
                ioTarget.accounts.push_back(use.account);
            ioTarget.totals.emplace_back(use.amount, static_cast<std::uint16_t>(index),
                                         known->second);
        }
    }
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
        encodeProgress(inHello.operatorProgress, target);
        target.protocol = inHello.protocol;
        body.Set(std::move(target));
    }

    void operator()(const heartbeat &inHeartbeat)
    {
        wire::HeartbeatT target;
        encodeProgress(inHeartbeat.operatorProgress, target);
        target.draining = inHeartbeat.draining;
        target.hears_receiver = inHeartbeat.receiverLive;
        for (const limits::account_use &use : inHeartbeat.accountUses) {
            auto entry = std::make_unique<wire::AccountUseT>();
            entry->account = use.account;
            entry->amount = use.amount;
            target.account_uses.push_back(std::move(entry));
        }
        target.loads = encodeLoads(inHeartbeat.loads);
        target.adapter_uses = inHeartbeat.adapterUses;
        target.adapters_running = inHeartbeat.adaptersRunning;
        target.pauses = encodePauses(inHeartbeat.pauses);
        target.sent_at_us = inHeartbeat.sentAt.time_since_epoch().count();
        target.store_failing = inHeartbeat.storeFailing;
        target.quarantine = encodeQuarantine(inHeartbeat.quarantine, now);
        target.leaving.assign(inHeartbeat.leaving.begin(), inHeartbeat.leaving.end());
        target.cold = encodeCold(inHeartbeat.cold);
        target.intervals = encodeIntervals(inHeartbeat.intervals);
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

    void operator()(const engine_state &inState) { body.Set(encodeState(inState, now)); }

    void operator()(const operator_records_wanted &inWanted)
    {
        wire::OperatorRecordsWantedT target;
        target.from = inWanted.from.offset();
        target.from_era = inWanted.from.era();
        body.Set(target);
    }

    void operator()(const operator_records &inRecords)
    {
        wire::OperatorRecordsT target;
        target.records = encodeRecords(inRecords.records);
        encodeRange(inRecords, target);
        body.Set(std::move(target));
    }

    void operator()(const endpoint_records &inRecords)
    {
        wire::EndpointRecordsT target;
        target.records = encodeRecords(inRecords.records);
        encodeRange(inRecords, target);
        body.Set(std::move(target));
    }

    void operator()(const operator_end &inEnd)
    {
        wire::OperatorEndT target;
        target.end = inEnd.end.offset();
        target.end_era = inEnd.end.era();
        body.Set(target);
    }

    void operator()(const fleet_records &inRecords)
    {
        wire::FleetRecordsT target;
        target.records = encodeRecords(inRecords.records);
        encodeRange(inRecords, target);
        target.complete = inRecords.complete;
        target.echo_us = inRecords.echo.time_since_epoch().count();
        target.incarnation = inRecords.incarnation;
        body.Set(std::move(target));
    }

    void operator()(const domain_summary &inSummary)
    {
        wire::DomainSummaryT target;
        target.domain = inSummary.domain;
        target.sender = inSummary.sender;
        target.incarnation = inSummary.incarnation;
        target.sequence = inSummary.sequence;
        encodeProgress(inSummary.operatorProgress, target);
        for (const heard_domain &heard : inSummary.heardDomains) {
            auto entry = std::make_unique<wire::HeardDomainT>();
            entry->domain = heard.domain;
            entry->sender = heard.sender;
            entry->receiver = heard.receiver;
            target.heard_domains.push_back(std::move(entry));
        }
        encodeInstances(inSummary.instances, target);
        target.totals_complete = inSummary.hasAllTotals;
        target.loads = encodeLoads(inSummary.loads);
        target.adapter_uses = inSummary.adapterUses;
        target.adapters_running = inSummary.adaptersRunning;
        target.pauses = encodePauses(inSummary.pauses);
        target.intervals = encodeIntervals(inSummary.intervals);
        for (const summarized_engine &engine : inSummary.engines) {
            auto entry = std::make_unique<wire::EngineStateT>(encodeState(engine.state, now));
            entry->holder = engine.holder;
            target.engine_states.push_back(std::move(entry));
        }
        target.quarantine = encodeQuarantine(inSummary.quarantine, now);
        target.cold = encodeCold(inSummary.cold);
        body.Set(std::move(target));
    }

    void operator()(const permit_wanted &inWanted)
    {
        wire::PermitWantedT target;
        target.endpoint = inWanted.endpoint;
        target.number = inWanted.number;
        body.Set(std::move(target));
    }

    void operator()(const permit_reply &inReply)
    {
        wire::PermitReplyT target;
        target.number = inReply.number;
        target.granted = inReply.granted;
        target.retry_in_us = inReply.retryIn.count();
        body.Set(target);
    }
};

message decodeHeartbeat(const wire::HeartbeatT &inBody, core::time_point inNow)
{
    heartbeat decoded{.operatorProgress = decodeProgress(inBody),
                      .draining = inBody.draining,
                      .receiverLive = inBody.hears_receiver,
                      .loads = decodeLoads(inBody.loads),
                      .adapterUses = inBody.adapter_uses,
                      .adaptersRunning = inBody.adapters_running,
                      .pauses = decodePauses(inBody.pauses),
                      .sentAt = core::time_point(core::duration(inBody.sent_at_us)),
                      .storeFailing = inBody.store_failing,
                      .quarantine = decodeQuarantine(inBody.quarantine.get(), inNow),
                      .leaving = {inBody.leaving.begin(), inBody.leaving.end()},
                      .cold = decodeCold(inBody.cold),
                      .intervals = decodeIntervals(inBody.intervals)};
    for (const auto &use : inBody.account_uses)
        decoded.accountUses.push_back({use->account, use->amount});
    return decoded;
}

engine_state decodeState(const wire::EngineStateT &inBody, core::time_point inNow)
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

/// Returns nothing if a total refers to an instance or account that the summary does not have.
std::optional<message> decodeSummary(const wire::DomainSummaryT &inBody, core::time_point inNow)
{
    domain_summary decoded{.domain = inBody.domain,
                           .sender = inBody.sender,
                           .incarnation = inBody.incarnation,
                           .sequence = inBody.sequence,
                           .operatorProgress = decodeProgress(inBody),
                           .hasAllTotals = inBody.totals_complete,
                           .loads = decodeLoads(inBody.loads),
                           .adapterUses = inBody.adapter_uses,
                           .adaptersRunning = inBody.adapters_running,
                           .pauses = decodePauses(inBody.pauses),
                           .intervals = decodeIntervals(inBody.intervals)};
    for (const auto &entry : inBody.heard_domains)
        decoded.heardDomains.push_back({entry->domain, entry->sender, entry->receiver});
    for (const auto &entry : inBody.instances)
        decoded.instances.push_back({entry->instance, entry->machine, entry->address,
                                     entry->incarnation, entry->draining, entry->protocol});
    for (const wire::InstanceTotal &total : inBody.totals) {
        if (total.instance() >= decoded.instances.size()
            || total.account() >= inBody.accounts.size())
            return std::nullopt;
        decoded.instances[total.instance()].accountUses.push_back(
            {inBody.accounts[total.account()], total.amount()});
    }
    decoded.quarantine = decodeQuarantine(inBody.quarantine.get(), inNow);
    decoded.cold = decodeCold(inBody.cold);
    for (const auto &entry : inBody.engine_states)
        decoded.engines.push_back({entry->holder, decodeState(*entry, inNow)});
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
        return hello{body->instance,    body->machine,         body->address, body->failure_domain,
                     body->incarnation, decodeProgress(*body), body->protocol};
    if (const auto *body = envelope.body.AsHeartbeat())
        return decodeHeartbeat(*body, inNow);
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
        return operator_records_wanted{{body->from_era, body->from}};
    if (const auto *body = envelope.body.AsOperatorRecords())
        return operator_records{
            decodeRecords(body->records), {body->from_era, body->from}, {body->end_era, body->end}};
    if (const auto *body = envelope.body.AsEndpointRecords())
        return endpoint_records{
            decodeRecords(body->records), {body->from_era, body->from}, {body->end_era, body->end}};
    if (const auto *body = envelope.body.AsOperatorEnd())
        return operator_end{{body->end_era, body->end}};
    if (const auto *body = envelope.body.AsFleetRecords())
        return fleet_records{decodeRecords(body->records),
                             {body->from_era, body->from},
                             {body->end_era, body->end},
                             body->complete,
                             core::time_point(core::duration(body->echo_us)),
                             body->incarnation};
    if (const auto *body = envelope.body.AsDomainSummary())
        return decodeSummary(*body, inNow);
    if (const auto *body = envelope.body.AsPermitWanted())
        return permit_wanted{body->endpoint, body->number};
    if (const auto *body = envelope.body.AsPermitReply())
        return permit_reply{body->number, body->granted, core::duration(body->retry_in_us)};
    return std::nullopt;
}

} // namespace corneltally::fleet
