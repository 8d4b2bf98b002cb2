#include "corneltally/entry/peer_codec.h"

#include "schemas/peer_generated.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <vector>

namespace corneltally::entry {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

template <typename... Cases>
struct overloaded : Cases...
{
    using Cases::operator()...;
};
template <typename... Cases>
overloaded(Cases...) -> overloaded<Cases...>;

/// A table and its type in the union of the envelope.
struct encoded_body
{
    wire::Body type = wire::Body::NONE;
    Offset<void> table;
};

template <typename Table>
encoded_body makeBody(Offset<Table> inTable)
{
    return {wire::BodyTraits<Table>::enum_value, inTable.Union()};
}

long long remainingMicroseconds(core::time_point inDeadline, core::time_point inNow)
{
    return (inDeadline - inNow).count();
}

Offset<wire::Run> encodeRun(FlatBufferBuilder &ioBuilder, const run &inRun, core::time_point inNow)
{
    // Bodies may contain zero bytes, at which the overload for C strings would truncate them.
    const auto requestId = ioBuilder.CreateString(inRun.requestId);
    const auto account = ioBuilder.CreateString(inRun.account);
    const auto route = ioBuilder.CreateString(inRun.route);
    const auto adapter = ioBuilder.CreateString(inRun.adapter);
    const auto version = ioBuilder.CreateString(inRun.version);
    const auto baseModel = ioBuilder.CreateString(inRun.baseModel);
    const auto method = ioBuilder.CreateString(inRun.method);
    const auto path = ioBuilder.CreateString(inRun.path);
    const auto contentType = ioBuilder.CreateString(inRun.contentType);
    const auto body = ioBuilder.CreateString(inRun.body);
    const auto orderId = ioBuilder.CreateString(inRun.orderId);
    return wire::CreateRun(ioBuilder, requestId, account, route,
                           static_cast<wire::EndpointKind>(inRun.kind), adapter, version, baseModel,
                           method, path, contentType, body, orderId, inRun.promptTokens,
                           inRun.maxTokens, inRun.stream, inRun.repeatable,
                           static_cast<wire::TrafficClass>(inRun.trafficClass),
                           remainingMicroseconds(inRun.deadline, inNow), inRun.streamIdle.count());
}

encoded_body encodeRunEvent(FlatBufferBuilder &ioBuilder, const run_event &inEvent)
{
    const auto requestId = ioBuilder.CreateString(inEvent.requestId);
    return std::visit(
        overloaded{
            [&](const run_head &inHead) {
                const auto contentType = ioBuilder.CreateString(inHead.contentType);
                return makeBody(
                    wire::CreateRunHead(ioBuilder, requestId, inHead.status, contentType));
            },
            [&](const run_chunk &inChunk) {
                const auto data = ioBuilder.CreateString(inChunk.data);
                return makeBody(wire::CreateRunChunk(ioBuilder, requestId, inChunk.index, data));
            },
            [&](const run_end &inEnd) {
                const auto message = ioBuilder.CreateString(inEnd.error.message);
                const auto remedy = ioBuilder.CreateString(inEnd.error.remedy);
                const auto error = wire::CreateError(
                    ioBuilder, static_cast<std::uint8_t>(inEnd.error.kind), message, remedy);
                const auto endpoint = ioBuilder.CreateString(inEnd.endpoint);
                return makeBody(wire::CreateRunEnd(
                    ioBuilder, requestId, static_cast<wire::RunOutcome>(inEnd.outcome), error,
                    inEnd.outputTokens, inEnd.retryAfterSeconds, endpoint));
            },
        },
        inEvent.event);
}

Offset<flatbuffers::Vector<Offset<wire::Adapter>>>
encodeAdapters(FlatBufferBuilder &ioBuilder, const std::vector<resident_adapter> &inAdapters)
{
    std::vector<Offset<wire::Adapter>> offsets;
    offsets.reserve(inAdapters.size());
    for (const resident_adapter &entry : inAdapters) {
        offsets.push_back(
            wire::CreateAdapterDirect(ioBuilder, entry.adapter.c_str(), entry.version.c_str()));
    }
    return ioBuilder.CreateVector(offsets);
}

encoded_body encodeStatus(FlatBufferBuilder &ioBuilder, const endpoint_status &inStatus)
{
    const auto endpoint = ioBuilder.CreateString(inStatus.endpoint);
    const auto owner = ioBuilder.CreateString(inStatus.owner);
    const auto resident = encodeAdapters(ioBuilder, inStatus.resident);
    const auto loading = encodeAdapters(ioBuilder, inStatus.loading);
    return makeBody(wire::CreateEndpointStatus(
        ioBuilder, endpoint, owner, inStatus.fence, inStatus.accepting, resident, loading,
        inStatus.running, inStatus.queued, inStatus.queuedTokens, inStatus.estimatedWait.count()));
}

encoded_body encodeRecords(FlatBufferBuilder &ioBuilder, const settings_records &inRecords)
{
    std::vector<Offset<wire::SettingsRecord>> offsets;
    offsets.reserve(inRecords.records.size());
    for (const settings_record &record : inRecords.records) {
        const auto data = ioBuilder.CreateString(record.data);
        offsets.push_back(wire::CreateSettingsRecord(ioBuilder, record.offset, data));
    }
    return makeBody(wire::CreateSettingsRecords(ioBuilder, ioBuilder.CreateVector(offsets)));
}

encoded_body encodePeerMessage(FlatBufferBuilder &ioBuilder, const peer_message &inMessage,
                               core::time_point inNow)
{
    FlatBufferBuilder &builder = ioBuilder;
    return std::visit(
        overloaded{
            [&](const run_submit &inSubmit) {
                const auto request = encodeRun(builder, inSubmit.request, inNow);
                return makeBody(
                    wire::CreateRunRequestDirect(builder, request, inSubmit.endpoint.c_str(),
                                                 inSubmit.origin.c_str(), inSubmit.resumeFrom));
            },
            [&](const run_cancel &inCancel) {
                return makeBody(wire::CreateRunCancelDirect(builder, inCancel.requestId.c_str(),
                                                            inCancel.origin.c_str()));
            },
            [&](const run_event &inEvent) { return encodeRunEvent(builder, inEvent); },
            [&](const endpoint_status &inStatus) { return encodeStatus(builder, inStatus); },
            [&](const loan_request &inLoan) {
                return makeBody(wire::CreateLoanRequestDirect(
                    builder, inLoan.account.c_str(), inLoan.loanId, inLoan.rate, inLoan.tokens));
            },
            [&](const loan_grant &inLoan) {
                return makeBody(wire::CreateLoanGrantDirect(
                    builder, inLoan.account.c_str(), inLoan.loanId, inLoan.rate, inLoan.burst,
                    inLoan.tokens, inLoan.validFor.count()));
            },
            [&](const settings_records &inRecords) { return encodeRecords(builder, inRecords); },
            [&](const settings_request &inRequest) {
                return makeBody(wire::CreateSettingsRequest(builder, inRequest.afterOffset));
            },
            [&](const settings_snapshot &inSnapshot) {
                const auto tree = builder.CreateString(inSnapshot.tree);
                return makeBody(wire::CreateSettingsSnapshot(builder, inSnapshot.offset, tree));
            },
        },
        inMessage);
}

std::string toString(const flatbuffers::String *inText)
{
    return inText->str();
}

template <typename Enum>
bool isInRange(Enum inValue, Enum inLast)
{
    return static_cast<unsigned>(inValue) <= static_cast<unsigned>(inLast);
}

using decode_result = std::optional<wire_message>;

decode_result decodeSubmit(const wire::RunRequest &inTable, core::time_point inNow)
{
    const wire::Run &source = *inTable.run();
    if (!isInRange(source.kind(), wire::EndpointKind::MAX)
        || !isInRange(source.traffic_class(), wire::TrafficClass::MAX))
        return std::nullopt;
    run request{.requestId = toString(source.request_id()),
                .account = toString(source.account()),
                .route = toString(source.route()),
                .kind = static_cast<settings::endpoint_kind>(source.kind()),
                .adapter = toString(source.adapter()),
                .version = toString(source.version()),
                .baseModel = toString(source.base_model()),
                .method = toString(source.method()),
                .path = toString(source.path()),
                .contentType = toString(source.content_type()),
                .body = toString(source.body()),
                .orderId = toString(source.order_id()),
                .promptTokens = source.prompt_tokens(),
                .maxTokens = source.max_tokens(),
                .stream = source.stream(),
                .repeatable = source.repeatable(),
                .trafficClass = static_cast<settings::traffic_class>(source.traffic_class()),
                .deadline = inNow + core::duration(source.remaining_us()),
                .streamIdle = core::duration(source.stream_idle_us())};
    return peer_message(run_submit{.request = std::move(request),
                                   .endpoint = toString(inTable.endpoint()),
                                   .origin = toString(inTable.origin()),
                                   .resumeFrom = inTable.resume_from()});
}

decode_result decodeEnd(const wire::RunEnd &inTable)
{
    const wire::Error &source = *inTable.error();
    if (!isInRange(inTable.outcome(), wire::RunOutcome::MAX)
        || source.kind() > static_cast<std::uint8_t>(core::error_kind::internal))
        return std::nullopt;
    run_end end{.outcome = static_cast<run_outcome>(inTable.outcome()),
                .error = {.kind = static_cast<core::error_kind>(source.kind()),
                          .message = toString(source.message()),
                          .remedy = toString(source.remedy())},
                .outputTokens = inTable.output_tokens(),
                .retryAfterSeconds = inTable.retry_after_s(),
                .endpoint = toString(inTable.endpoint())};
    return peer_message(run_event{toString(inTable.request_id()), std::move(end)});
}

std::vector<resident_adapter>
decodeAdapters(const flatbuffers::Vector<Offset<wire::Adapter>> &inAdapters)
{
    std::vector<resident_adapter> adapters;
    adapters.reserve(inAdapters.size());
    for (const wire::Adapter *entry : inAdapters)
        adapters.push_back({toString(entry->adapter()), toString(entry->version())});
    return adapters;
}

decode_result decodeStatus(const wire::EndpointStatus &inTable)
{
    return peer_message(
        endpoint_status{.endpoint = toString(inTable.endpoint()),
                        .owner = toString(inTable.owner()),
                        .fence = inTable.fence(),
                        .accepting = inTable.accepting(),
                        .resident = decodeAdapters(*inTable.resident()),
                        .loading = decodeAdapters(*inTable.loading()),
                        .running = inTable.running(),
                        .queued = inTable.queued(),
                        .queuedTokens = inTable.queued_tokens(),
                        .estimatedWait = core::duration(inTable.estimated_wait_us())});
}

decode_result decodeRecords(const wire::SettingsRecords &inTable)
{
    settings_records records;
    for (const wire::SettingsRecord *entry : *inTable.records())
        records.records.push_back({entry->offset(), toString(entry->data())});
    return peer_message(std::move(records));
}

decode_result decodeBody(const wire::Envelope &inEnvelope, core::time_point inNow)
{
    switch (inEnvelope.body_type()) {
    case wire::Body::Hello: {
        const wire::Hello &hello = *inEnvelope.body_as_Hello();
        return peer_hello{toString(hello.instance()), hello.incarnation(),
                          hello.receiver_incarnation()};
    }
    case wire::Body::Heartbeat: {
        const wire::Heartbeat &heartbeat = *inEnvelope.body_as_Heartbeat();
        return peer_heartbeat{heartbeat.incarnation(), heartbeat.settings_version(),
                              heartbeat.draining(), heartbeat.receiver_incarnation()};
    }
    case wire::Body::DrainNotice:
        return peer_drain_notice{};
    case wire::Body::RunRequest:
        return decodeSubmit(*inEnvelope.body_as_RunRequest(), inNow);
    case wire::Body::RunCancel: {
        const wire::RunCancel &cancel = *inEnvelope.body_as_RunCancel();
        return peer_message(run_cancel{toString(cancel.request_id()), toString(cancel.origin())});
    }
    case wire::Body::RunHead: {
        const wire::RunHead &head = *inEnvelope.body_as_RunHead();
        return peer_message(run_event{toString(head.request_id()),
                                      run_head{head.status(), toString(head.content_type())}});
    }
    case wire::Body::RunChunk: {
        const wire::RunChunk &chunk = *inEnvelope.body_as_RunChunk();
        return peer_message(run_event{toString(chunk.request_id()),
                                      run_chunk{chunk.index(), toString(chunk.data())}});
    }
    case wire::Body::RunEnd:
        return decodeEnd(*inEnvelope.body_as_RunEnd());
    case wire::Body::EndpointStatus:
        return decodeStatus(*inEnvelope.body_as_EndpointStatus());
    case wire::Body::LoanRequest: {
        const wire::LoanRequest &loan = *inEnvelope.body_as_LoanRequest();
        return peer_message(
            loan_request{toString(loan.account()), loan.loan_id(), loan.rate(), loan.tokens()});
    }
    case wire::Body::LoanGrant: {
        const wire::LoanGrant &loan = *inEnvelope.body_as_LoanGrant();
        return peer_message(loan_grant{toString(loan.account()), loan.loan_id(), loan.rate(),
                                       loan.burst(), loan.tokens(),
                                       core::duration(loan.valid_for_us())});
    }
    case wire::Body::SettingsRecords:
        return decodeRecords(*inEnvelope.body_as_SettingsRecords());
    case wire::Body::SettingsRequest:
        return peer_message(settings_request{inEnvelope.body_as_SettingsRequest()->after_offset()});
    case wire::Body::SettingsSnapshot: {
        const wire::SettingsSnapshot &snapshot = *inEnvelope.body_as_SettingsSnapshot();
        return peer_message(settings_snapshot{snapshot.offset(), toString(snapshot.tree())});
    }
    case wire::Body::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string encodePeerFrame(const wire_message &inMessage, core::time_point inNow)
{
    FlatBufferBuilder builder;
    const encoded_body body = std::visit(
        overloaded{
            [&](const peer_hello &inHello) {
                return makeBody(wire::CreateHelloDirect(builder, inHello.instance.c_str(),
                                                        inHello.incarnation,
                                                        inHello.receiverIncarnation));
            },
            [&](const peer_heartbeat &inHeartbeat) {
                return makeBody(wire::CreateHeartbeat(
                    builder, inHeartbeat.incarnation, inHeartbeat.settingsVersion,
                    inHeartbeat.draining, inHeartbeat.receiverIncarnation));
            },
            [&](const peer_drain_notice &) { return makeBody(wire::CreateDrainNotice(builder)); },
            [&](const peer_message &inPeerMessage) {
                return encodePeerMessage(builder, inPeerMessage, inNow);
            },
        },
        inMessage);
    builder.Finish(wire::CreateEnvelope(builder, body.type, body.table));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

core::result<wire_message> decodePeerFrame(std::string_view inBody, core::time_point inNow)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(inBody.data());
    flatbuffers::Verifier verifier(bytes, inBody.size());
    if (wire::VerifyEnvelopeBuffer(verifier)) {
        decode_result message = decodeBody(*wire::GetEnvelope(bytes), inNow);
        if (message)
            return std::move(*message);
    }
    return core::error{core::error_kind::invalid_request, "invalid frame from a peer",
                       "run the same version of the daemon on all instances"};
}

} // namespace corneltally::entry
