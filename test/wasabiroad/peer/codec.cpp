#include "wasabiroad/peer/codec.hpp"

#include "wasabiroad/peer/generated/peer.pb.h"

#include <array>
#include <functional>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using namespace wasabiroad::peer;
using kernel::ResultCode;

const Version version { { 7 }, "00112233445566778899aabbccddeeff" };

struct Sent {
    const std::string label;
    const Body body;
};

std::ostream& operator<<(std::ostream& stream, const Sent& row) { return stream << row.label; }

const std::array sent {
    Sent { "empty heartbeat", Heartbeat {} },
    Sent { "heartbeat", Heartbeat { version, true, 20, true, { 5, 6 } } },
    Sent { "request without a base", ManifestRequest { version } },
    Sent { "request", ManifestRequest { version, version } },
    Sent { "whole text", ManifestReply { version, "", { 0, 0, "{}" } } },
    Sent { "difference", ManifestReply { version, version.digest, { 10, 20, "middle" } } },
    Sent { "leaving VMs", LeavingVms { { model::VmId { "vm-1" }, model::VmId { "vm-2" } } } },
};

Envelope envelopeOf(const Body& body)
{
    return { model::EntryId { "entry-a" }, model::ZoneId { "by-1" }, { 1700000000000, 9 }, body };
}

/** Guards against a field that is lost or changed on the way. */
BOOST_DATA_TEST_CASE(restores_a_message, boost::unit_test::data::make(sent), row)
{
    BOOST_TEST((decode(encode(envelopeOf(row.body))) == envelopeOf(row.body)));
}

struct Broken {
    const std::string label;
    const std::function<void(wire::Envelope&)> spoil;
};

std::ostream& operator<<(std::ostream& stream, const Broken& row) { return stream << row.label; }

const std::array broken {
    Broken { "protocol", [](auto& m) { m.set_protocol(2); } },
    Broken { "no sender", [](auto& m) { m.clear_sender(); } },
    Broken { "sender with a slash", [](auto& m) { m.set_sender("a/b"); } },
    Broken { "long sender", [](auto& m) { m.set_sender(std::string(64, 'a')); } },
    Broken { "no zone", [](auto& m) { m.clear_zone(); } },
    Broken { "no incarnation", [](auto& m) { m.set_incarnation(0); } },
    Broken { "no sequence", [](auto& m) { m.set_sequence(0); } },
    Broken { "no body", [](auto& m) { m.clear_body(); } },
    Broken { "short digest", [](auto& m) { m.mutable_heartbeat()->set_digest("abc"); } },
    Broken { "digest without generation", [](auto& m) { m.mutable_heartbeat()->set_generation(0); } },
    Broken { "no entry in the zone", [](auto& m) { m.mutable_heartbeat()->set_zone_entries(0); } },
    Broken { "half a stamp", [](auto& m) { m.mutable_heartbeat()->set_heard_sequence(0); } },
    Broken { "request without version", [](auto& m) { m.mutable_manifest_request(); } },
    Broken { "reply without version", [](auto& m) { m.mutable_manifest_reply(); } },
    Broken { "whole text with a prefix",
        [](auto& m) {
            auto& reply = *m.mutable_manifest_reply();
            reply.set_generation(1), reply.set_digest(std::string(16, 'd')), reply.set_prefix(1);
        } },
    Broken { "VM that is no identifier", [](auto& m) { m.mutable_leaving_vms()->add_vms("VM 1"); } },
};

/** Guards against a message that is taken although it breaks a rule. */
BOOST_DATA_TEST_CASE(rejects_a_broken_message, boost::unit_test::data::make(broken), row)
{
    wire::Envelope message;
    message.ParseFromString(encode(envelopeOf(sent[1].body)));
    row.spoil(message);
    const auto decoded = decode(message.SerializeAsString());
    BOOST_REQUIRE(!decoded);
    BOOST_TEST((decoded.error().code == ResultCode::PeerMessageInvalid));
}

} // namespace
