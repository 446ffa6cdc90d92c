#include "azureyoke/src/protocol/peer_codec.h"

#include <cstring>

#include <capnp/serialize.h>
#include <kj/array.h>
#include <kj/exception.h>

namespace azureyoke::protocol {

namespace internal {
namespace {

constexpr std::uint64_t max_datagram_words = 8192; // 64 KiB, the maximum size of a UDP datagram

void write_stamp(schema::Stamp::Builder out, const state::document_stamp& stamp) {
    out.setName(stamp.name);
    out.setVersion(stamp.version);
    out.setDigest(stamp.digest);
}

state::document_stamp read_stamp(schema::Stamp::Reader in) {
    return {in.getName().cStr(), in.getVersion(), in.getDigest().cStr()};
}

void write_member(schema::MemberRecord::Builder out, const state::member_record& record) {
    out.setName(record.name);
    out.setDataCentre(record.data_centre);
    out.setAddress(record.address);
    out.setIncarnation(record.incarnation);
    out.setStatus(static_cast<schema::MemberRecord::Status>(record.status));
}

state::member_record read_member(schema::MemberRecord::Reader in) {
    // Maps a status that this version does not know to `left`, the most severe.
    auto status =
        std::min(static_cast<int>(in.getStatus()), static_cast<int>(state::member_status::left));
    return {in.getName().cStr(), in.getDataCentre().cStr(), in.getAddress().cStr(),
            in.getIncarnation(), static_cast<state::member_status>(status)};
}

/// Visitor with one overload per kind of message.
struct message_writer {
    schema::Message::Builder out;

    void operator()(const state::loan_request& it) {
        auto body = out.initAsk();
        body.setNumber(it.number);
        body.setWorkspace(it.workspace);
        body.setNeed(it.need);
        body.setExtra(it.extra);
    }

    void operator()(const state::token_loan& it) {
        auto body = out.initLoan();
        body.setAsk(it.request_number);
        body.setTransfer(it.transfer);
        body.setWorkspace(it.workspace);
        body.setTokens(it.tokens);
        body.setLeft(it.still_lendable);
    }

    void operator()(const state::loan_refund& it) {
        auto body = out.initGiveBack();
        body.setTransfer(it.transfer);
        body.setNumber(it.number);
        body.setWorkspace(it.workspace);
        body.setTokens(it.tokens);
    }

    void operator()(const state::dispatch_notice& it) {
        auto body = out.initNotice();
        body.setKind(static_cast<schema::DispatchNotice::Kind>(it.kind));
        body.setReplica(it.replica);
        body.setCall(it.call);
        body.setUncachedTokens(it.uncached_tokens);
        auto prefix_hashes = body.initChain(static_cast<unsigned>(it.prefix_hashes.size()));
        for (unsigned i = 0; i < prefix_hashes.size(); ++i)
            prefix_hashes.set(i, it.prefix_hashes[i]);
    }

    void operator()(const state::lease_renewal_request& it) {
        auto body = out.initGrantQuestion();
        body.setIncarnation(it.incarnation);
        body.setNumber(it.number);
    }

    void operator()(const state::lease_renewal& it) { out.setGrantStands(it.number); }

    void operator()(const document_stamps& it) {
        auto list = out.initStamps(static_cast<unsigned>(it.stamps.size()));
        for (unsigned i = 0; i < list.size(); ++i)
            write_stamp(list[i], it.stamps[i]);
    }

    void operator()(const document_request& it) { out.setDocumentWanted(it.name); }

    void operator()(const state::document_copy& it) {
        auto body = out.initDocument();
        write_stamp(body.initStamp(), it.stamp);
        body.setText(it.text);
        body.setAcceptedMs(it.accepted_ms);
    }

    void operator()(const state::drain_notice& it) {
        auto body = out.initDrain();
        body.setReplica(it.replica);
        body.setValidMs(it.valid_ms);
    }
};

state::dispatch_notice read_notice(schema::DispatchNotice::Reader in) {
    state::dispatch_notice notice;
    auto kind =
        std::min(static_cast<int>(in.getKind()), static_cast<int>(state::notice_kind::ended));
    notice.kind = static_cast<state::notice_kind>(kind);
    notice.replica = in.getReplica().cStr();
    notice.call = in.getCall();
    notice.uncached_tokens = in.getUncachedTokens();
    for (auto piece : in.getChain())
        notice.prefix_hashes.push_back(piece);
    return notice;
}

document_stamps read_stamps(capnp::List<schema::Stamp>::Reader in) {
    document_stamps list;
    for (auto it : in)
        list.stamps.push_back(read_stamp(it));
    return list;
}

} // namespace
} // namespace internal

void write_message(schema::Message::Builder out, const peer_message& message) {
    std::visit(internal::message_writer{out}, message);
}

std::optional<peer_message> read_message(schema::Message::Reader in) {
    switch (in.which()) {
    case schema::Message::ASK: {
        auto it = in.getAsk();
        return state::loan_request{it.getNumber(), it.getWorkspace().cStr(), it.getNeed(),
                                   it.getExtra()};
    }
    case schema::Message::LOAN: {
        auto it = in.getLoan();
        return state::token_loan{it.getAsk(), it.getTransfer(), it.getWorkspace().cStr(),
                                 it.getTokens(), it.getLeft()};
    }
    case schema::Message::GIVE_BACK: {
        auto it = in.getGiveBack();
        return state::loan_refund{it.getTransfer(), it.getNumber(), it.getWorkspace().cStr(),
                                  it.getTokens()};
    }
    case schema::Message::NOTICE:
        return internal::read_notice(in.getNotice());
    case schema::Message::GRANT_QUESTION: {
        auto it = in.getGrantQuestion();
        return state::lease_renewal_request{it.getIncarnation(), it.getNumber()};
    }
    case schema::Message::GRANT_STANDS:
        return state::lease_renewal{in.getGrantStands()};
    case schema::Message::STAMPS:
        return internal::read_stamps(in.getStamps());
    case schema::Message::DOCUMENT_WANTED:
        return document_request{in.getDocumentWanted().cStr()};
    case schema::Message::DOCUMENT: {
        auto it = in.getDocument();
        return state::document_copy{internal::read_stamp(it.getStamp()), it.getText().cStr(),
                                    it.getAcceptedMs()};
    }
    case schema::Message::DRAIN: {
        auto it = in.getDrain();
        return state::drain_notice{it.getReplica().cStr(), it.getValidMs()};
    }
    }
    return std::nullopt;
}

std::string encode_probe(const std::string& fleet, const state::probe& message) {
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<schema::Probe>();
    out.setProtocolVersion(schema::PROTOCOL_VERSION);
    out.setFleet(fleet);
    internal::write_member(out.initSender(), message.sender);
    out.setNumber(message.number);
    out.setKind(static_cast<schema::Probe::Kind>(message.kind));
    out.setTarget(message.target);
    auto records = out.initRecords(static_cast<unsigned>(message.records.size()));
    for (unsigned i = 0; i < records.size(); ++i)
        internal::write_member(records[i], message.records[i]);
    auto words = capnp::messageToFlatArray(builder);
    auto bytes = words.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<state::probe> decode_probe(const std::string& fleet, std::string_view bytes) {
    if (bytes.size() % sizeof(capnp::word) != 0)
        return std::nullopt;
    // Copies the bytes, because the reader requires word alignment.
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    std::optional<state::probe> decoded;
    // KJ reports malformed bytes as exceptions.
    auto failure = kj::runCatchingExceptions([&] {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = internal::max_datagram_words;
        capnp::FlatArrayMessageReader reader(words, options);
        auto in = reader.getRoot<schema::Probe>();
        auto kind = static_cast<int>(in.getKind());
        if (in.getProtocolVersion() != schema::PROTOCOL_VERSION || in.getFleet() != fleet.c_str() ||
            kind > static_cast<int>(state::probe_kind::ping_request))
            return;
        state::probe message;
        message.sender = internal::read_member(in.getSender());
        message.number = in.getNumber();
        message.kind = static_cast<state::probe_kind>(kind);
        message.target = in.getTarget().cStr();
        for (auto it : in.getRecords())
            message.records.push_back(internal::read_member(it));
        decoded = std::move(message);
    });
    if (failure != nullptr)
        return std::nullopt;
    return decoded;
}

} // namespace azureyoke::protocol
