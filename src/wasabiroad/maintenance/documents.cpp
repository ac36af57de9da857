#include "wasabiroad/maintenance/documents.hpp"

#include "wasabiroad/json/reader.hpp"

#include <stdexcept>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace wasabiroad::maintenance {

using fleet::Ledger;
using fleet::VmRecord;
using fleet::WaveProgress;
using json::Reader;
using kernel::ResultCode;

namespace {

std::uint64_t number(const Reader& reader, std::string_view key)
{
    return static_cast<std::uint64_t>(reader.integer(key));
}

boost::json::object toJson(const VmRecord& record)
{
    boost::json::object object { { "pool", record.pool.text() }, { "step", record.step },
        { "since", record.since.milliseconds } };
    if (record.state != model::VmState::Serving) {
        object["state"] = model::name(record.state);
    }
    if (record.reason != fleet::Reason::None) {
        object["reason"] = fleet::name(record.reason);
    }
    if (!record.cause.empty()) {
        object["cause"] = record.cause;
    }
    if (!record.target.text().empty()) {
        object["target"] = record.target.text();
    }
    if (!record.maintained.empty()) {
        object["maintained"] = record.maintained;
    }
    return object;
}

VmRecord readRecord(const boost::json::value& value)
{
    const Reader reader { value };
    const auto state = fleet::parseState(reader.text("state", model::name(model::VmState::Serving)));
    const auto reason = fleet::parseReason(reader.text("reason", fleet::name(fleet::Reason::None)));
    if (!state || !reason) {
        throw std::invalid_argument { "unknown state or reason" };
    }
    return {
        .pool = reader.id<model::PoolId>("pool"),
        .state = *state,
        .reason = *reason,
        .cause = reader.text("cause"),
        .target = reader.id<model::PoolId>("target"),
        .since = { reader.integer("since") },
        .step = number(reader, "step"),
        .maintained = reader.text("maintained"),
    };
}

/** Calls `insert` for each member of the JSON object under `key`. */
template <typename Map, typename Insert>
void readObject(const boost::json::value& document, std::string_view key, Map& map, Insert insert)
{
    for (const auto& member : document.as_object().at({ key.data(), key.size() }).as_object()) {
        insert(map, std::string { member.key() }, member.value());
    }
}

Ledger readLedger(const boost::json::value& document)
{
    const Reader reader { document };
    std::map<model::VmId, VmRecord> vms;
    readObject(document, "vms", vms, [](auto& map, std::string key, const auto& value) {
        map.emplace(model::VmId { std::move(key) }, readRecord(value));
    });
    std::map<model::ServiceId, std::uint32_t> shares;
    readObject(document, "shares", shares, [](auto& map, std::string key, const auto& value) {
        map.emplace(model::ServiceId { std::move(key) }, value.template to_number<std::uint32_t>());
    });
    std::map<model::ZoneId, std::uint64_t> redeemed;
    readObject(document, "redeemed", redeemed, [](auto& map, std::string key, const auto& value) {
        map.emplace(model::ZoneId { std::move(key) }, value.template to_number<std::uint64_t>());
    });
    std::map<std::uint64_t, fleet::Loan> loans;
    for (const auto& value : document.at("loans").as_array()) {
        const Reader loan { value };
        loans.emplace(number(loan, "number"),
            fleet::Loan { loan.id<model::ServiceId>("service"), loan.id<model::ZoneId>("to") });
    }
    std::map<fleet::LoanKey, fleet::Credit> credits;
    for (const auto& value : document.at("credits").as_array()) {
        const Reader credit { value };
        const auto from = credit.id<model::ZoneId>("from");
        credits.emplace(fleet::LoanKey { from, number(credit, "number") },
            fleet::Credit { credit.id<model::ServiceId>("service"), from });
    }
    return {
        .zone = reader.id<model::ZoneId>("zone"),
        .generation = { number(reader, "generation") },
        .lastStep = number(reader, "last-step"),
        .vms = std::move(vms),
        .shares = std::move(shares),
        .loans = std::move(loans),
        .credits = std::move(credits),
        .redeemed = std::move(redeemed),
    };
}

boost::json::array toJson(const std::set<model::VmId>& vms)
{
    boost::json::array list;
    for (const auto& vm : vms) {
        list.emplace_back(vm.text());
    }
    return list;
}

std::set<model::VmId> readSet(const Reader& reader, std::string_view key)
{
    const auto list = reader.ids<model::VmId>(key);
    return { list.begin(), list.end() };
}

WaveProgress readProgress(const boost::json::value& document)
{
    const Reader reader { document };
    const auto phase = fleet::parsePhase(reader.text("phase"));
    if (!phase) {
        throw std::invalid_argument { "unknown phase" };
    }
    return {
        .wave = reader.id<model::WaveId>("wave"),
        .run = number(reader, "run"),
        .phase = *phase,
        .active = readSet(reader, "active"),
        .done = readSet(reader, "done"),
        .failed = readSet(reader, "failed"),
        .acceptedFailures = number(reader, "accepted-failures"),
        .started = { reader.integer("started") },
        .changed = { reader.integer("changed") },
    };
}

/** Converts the exceptions that the JSON reader throws for malformed documents into an error. */
template <typename Read>
auto parse(const std::string& text, Read read) -> kernel::Expected<decltype(read(boost::json::value {}))>
{
    try {
        return read(boost::json::parse(text));
    } catch (const std::exception& failure) {
        return kernel::fail(ResultCode::InvalidJson, {}, failure.what(), "a document of the controller");
    }
}

} // namespace

std::string ledgerKey(const model::ZoneId& zone) { return std::string { ledgerPrefix } + zone.text(); }

std::string waveKey(const model::WaveId& wave) { return std::string { wavePrefix } + wave.text(); }

std::string toText(const Ledger& ledger)
{
    boost::json::object vms;
    for (const auto& [vm, record] : ledger.vms) {
        vms[vm.text()] = toJson(record);
    }
    boost::json::object shares;
    for (const auto& [service, share] : ledger.shares) {
        shares[service.text()] = share;
    }
    boost::json::object redeemed;
    for (const auto& [zone, last] : ledger.redeemed) {
        redeemed[zone.text()] = last;
    }
    boost::json::array loans;
    for (const auto& [key, loan] : ledger.loans) {
        loans.push_back({ { "number", key }, { "service", loan.service.text() }, { "to", loan.to.text() } });
    }
    boost::json::array credits;
    for (const auto& [key, credit] : ledger.credits) {
        credits.push_back({ { "number", key.number }, { "service", credit.service.text() },
            { "from", credit.from.text() } });
    }
    return boost::json::serialize(boost::json::value {
        { "zone", ledger.zone.text() },
        { "generation", ledger.generation.value },
        { "last-step", ledger.lastStep },
        { "vms", std::move(vms) },
        { "shares", std::move(shares) },
        { "loans", std::move(loans) },
        { "credits", std::move(credits) },
        { "redeemed", std::move(redeemed) },
    });
}

std::string toText(const WaveProgress& progress)
{
    return boost::json::serialize(boost::json::value {
        { "wave", progress.wave.text() },
        { "run", progress.run },
        { "phase", fleet::name(progress.phase) },
        { "active", toJson(progress.active) },
        { "done", toJson(progress.done) },
        { "failed", toJson(progress.failed) },
        { "accepted-failures", progress.acceptedFailures },
        { "started", progress.started.milliseconds },
        { "changed", progress.changed.milliseconds },
    });
}

kernel::Expected<Ledger> parseLedger(const std::string& text) { return parse(text, readLedger); }

kernel::Expected<WaveProgress> parseWaveProgress(const std::string& text)
{
    return parse(text, readProgress);
}

} // namespace wasabiroad::maintenance
