#include "wasabiroad/lifecycle/request_machine.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using wasabiroad::lifecycle::RequestEvent;
using wasabiroad::lifecycle::RequestState;

struct Row {
    const RequestState from;
    const RequestEvent event;
    const std::optional<RequestState> to;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << name(row.from) << " on " << static_cast<int>(row.event);
}

const std::array rows {
    Row { RequestState::Received, RequestEvent::Enqueued, RequestState::Queued },
    Row { RequestState::Queued, RequestEvent::SlotGranted, RequestState::Granted },
    Row { RequestState::Granted, RequestEvent::Rejected, RequestState::Refused },
    Row { RequestState::Granted, RequestEvent::SendStarted, RequestState::Sent },
    Row { RequestState::Sent, RequestEvent::Rejected, std::nullopt },
    Row { RequestState::Sent, RequestEvent::OutcomeUnknown, RequestState::Unknown },
    Row { RequestState::Sent, RequestEvent::NotStarted, RequestState::Queued },
    Row { RequestState::Sent, RequestEvent::AnswerStarted, RequestState::Answering },
    Row { RequestState::Answering, RequestEvent::RetryAllowed, std::nullopt },
    Row { RequestState::Answering, RequestEvent::OutcomeUnknown, std::nullopt },
    Row { RequestState::Answering, RequestEvent::AnswerTruncated, RequestState::Broken },
    Row { RequestState::Answered, RequestEvent::RetryAllowed, std::nullopt },
    Row { RequestState::Unknown, RequestEvent::RetryAllowed, std::nullopt },
};

/** Guards against reporting `not-run` after a byte was sent, and against a retry after the answer has
 * started. */
BOOST_DATA_TEST_CASE(request_transitions, boost::unit_test::data::make(rows), row)
{
    BOOST_TEST((wasabiroad::lifecycle::next(row.from, row.event) == row.to));
}

} // namespace
