#include "wasabiroad/lifecycle/request_machine.hpp"

#include "wasabiroad/lifecycle/transitions.hpp"

#include <boost/mpl/vector.hpp>

namespace wasabiroad::lifecycle {

namespace {

using State = RequestState;
using Event = RequestEvent;

template <State from, Event event, State to>
using Row = boost::msm::front::Row<internal::InState<from>, internal::OnEvent<event>, internal::InState<to>>;

struct RequestTable {
    using Rows = boost::mpl::vector<Row<State::Received, Event::Enqueued, State::Queued>,
        Row<State::Received, Event::SlotGranted, State::Granted>,
        Row<State::Received, Event::Rejected, State::Refused>,
        Row<State::Received, Event::CallerGone, State::Cancelled>,
        Row<State::Queued, Event::SlotGranted, State::Granted>,
        Row<State::Queued, Event::Rejected, State::Refused>,
        Row<State::Queued, Event::CallerGone, State::Cancelled>,
        Row<State::Granted, Event::SendStarted, State::Sent>,
        Row<State::Granted, Event::NotStarted, State::Queued>,
        Row<State::Granted, Event::Rejected, State::Refused>,
        Row<State::Granted, Event::CallerGone, State::Cancelled>,
        Row<State::Sent, Event::AnswerStarted, State::Answering>,
        Row<State::Sent, Event::NotStarted, State::Queued>,
        Row<State::Sent, Event::RetryAllowed, State::Queued>,
        Row<State::Sent, Event::OutcomeUnknown, State::Unknown>,
        Row<State::Sent, Event::CallerGone, State::Cancelled>,
        Row<State::Answering, Event::AnswerFinished, State::Answered>,
        Row<State::Answering, Event::AnswerTruncated, State::Broken>,
        Row<State::Answering, Event::CallerGone, State::Cancelled>>;
};

constexpr std::size_t stateCount = 10;
constexpr std::size_t eventCount = 11;
static_assert(static_cast<std::size_t>(State::Cancelled) + 1 == stateCount);
static_assert(static_cast<std::size_t>(Event::CallerGone) + 1 == eventCount);

} // namespace

std::string_view name(RequestState state)
{
    switch (state) {
    case State::Received:
        return "received";
    case State::Queued:
        return "queued";
    case State::Granted:
        return "granted";
    case State::Sent:
        return "sent";
    case State::Answering:
        return "answering";
    case State::Answered:
        return "answered";
    case State::Refused:
        return "refused";
    case State::Unknown:
        return "unknown";
    case State::Broken:
        return "broken";
    case State::Cancelled:
        return "cancelled";
    }
    return "unlisted";
}

std::optional<RequestState> next(RequestState from, RequestEvent event)
{
    static const internal::Transitions<RequestTable, RequestState, RequestEvent, stateCount, eventCount>
        transitions;
    return transitions.next(from, event);
}

} // namespace wasabiroad::lifecycle
