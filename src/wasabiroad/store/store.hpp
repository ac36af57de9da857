#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/error.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wasabiroad::store {

/** @brief Revision of the store; it rises with each change. */
struct Revision {
    std::uint64_t value { 0 };

    friend auto operator<=>(const Revision&, const Revision&) = default;
};

/** @brief A lease of the store; keys that hang on it are removed when it ends. */
struct LeaseId {
    std::uint64_t value { 0 };

    friend auto operator<=>(const LeaseId&, const LeaseId&) = default;
};

/** @brief A key with its value. */
struct Entry {
    const std::string key;
    const std::string value {};
    /** @brief Last change of the key. */
    const Revision revision {};
    const Revision created {};

    friend auto operator<=>(const Entry&, const Entry&) = default;
};

/** @brief A key was removed. */
struct Removed {
    const std::string key;
    const Revision revision {};

    friend auto operator<=>(const Removed&, const Removed&) = default;
};

/** @brief All keys under a prefix. */
struct Listing {
    const std::vector<Entry> entries {};
    /** @brief Changes after this revision may be missing; a watch continues from here. */
    const Revision asOf {};

    friend bool operator==(const Listing&, const Listing&) = default;
};

using KeyEvent = std::variant<Entry, Removed>;

/** @brief Changes under a prefix, in order. */
struct KeyEvents {
    const std::vector<KeyEvent> events {};
    const Revision asOf {};

    friend bool operator==(const KeyEvents&, const KeyEvents&) = default;
};

/** @brief The store no longer has the history that a watch asked for; list again. */
struct HistoryGone {
    friend auto operator<=>(const HistoryGone&, const HistoryGone&) = default;
};

using WatchOutcome = std::variant<KeyEvents, HistoryGone, kernel::Error>;

/** @brief A key must have this revision; 0 means that it must not exist. */
struct Condition {
    const std::string key;
    const Revision revision {};

    friend auto operator<=>(const Condition&, const Condition&) = default;
};

struct Put {
    const std::string key;
    const std::string value {};
    const LeaseId lease {};

    friend auto operator<=>(const Put&, const Put&) = default;
};

/** @brief Changes that are made together or not at all, if all conditions hold. */
struct Change {
    const std::vector<Condition> conditions {};
    const std::vector<Put> puts {};
    const std::vector<std::string> removals {};

    friend bool operator==(const Change&, const Change&) = default;
};

/** @brief Most conditions, puts and removals of one change together. */
constexpr std::size_t changeLimit = 32;

struct Committed {
    const Revision revision {};

    friend auto operator<=>(const Committed&, const Committed&) = default;
};

/** @brief A condition did not hold; nothing was changed. */
struct Conflict {
    /** @brief The keys of the conditions that exist. */
    const std::vector<Entry> current {};

    friend bool operator==(const Conflict&, const Conflict&) = default;
};

/** @brief A lease of a put has ended; nothing was changed. */
struct LeaseEnded {
    friend auto operator<=>(const LeaseEnded&, const LeaseEnded&) = default;
};

/** @brief The store did not do it. */
struct NotDone {
    const kernel::Error error;

    friend bool operator==(const NotDone&, const NotDone&) = default;
};

/** @brief The change may have been made, or may be made later. */
struct OutcomeUnknown {
    const kernel::Error error;

    friend bool operator==(const OutcomeUnknown&, const OutcomeUnknown&) = default;
};

using ChangeOutcome = std::variant<Committed, Conflict, LeaseEnded, NotDone, OutcomeUnknown>;

/** @brief A granted lease. */
struct Lease {
    const LeaseId id {};
    const kernel::Duration lifetime {};

    friend auto operator<=>(const Lease&, const Lease&) = default;
};

template <typename Result> using Callback = std::function<void(Result)>;

/** @brief Calls to the key-value store; callbacks run on the control thread, each exactly once. */
struct Store {
    const std::function<void(std::string key, Callback<kernel::Expected<std::optional<Entry>>>)> read;
    /** @brief Lists all keys under a prefix, page by page. */
    const std::function<void(std::string prefix, Callback<kernel::Expected<Listing>>)> list;
    /** @brief Waits for changes after a revision; without any it answers after `wait`. */
    const std::function<void(
        std::string prefix, Revision after, kernel::Duration wait, Callback<WatchOutcome>)>
        watch;
    const std::function<void(Change, Callback<ChangeOutcome>)> change;
    const std::function<void(kernel::Duration lifetime, Callback<kernel::Expected<Lease>>)> grant;
    /** @brief Renews a lease; false when it has ended. */
    const std::function<void(LeaseId, Callback<kernel::Expected<bool>>)> renew;
    const std::function<void(LeaseId, Callback<kernel::Expected<void>>)> end;
};

} // namespace wasabiroad::store
