#include "wasabiroad/traffic/claim.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::traffic {

using kernel::ResultCode;

namespace {

platform::Store withTimeout(const platform::Store& store, kernel::Duration timeout)
{
    return std::visit(kernel::Overloaded {
                          [&](const platform::HttpStore& http) -> platform::Store {
                              return platform::HttpStore { http.endpoint, std::min(http.timeout, timeout) };
                          },
                          [](const platform::LocalStore& local) -> platform::Store { return local; },
                      },
        store);
}

ClaimResult claimed() { return Claimed {}; }
ClaimResult claimedByOther() { return ClaimedByOther {}; }
ClaimResult unavailable(ResultCode code) { return ClaimUnavailable { code }; }

} // namespace

std::string claimKey(const std::string& service, const std::string& request)
{
    return "claim/" + service + "/" + request;
}

boost::asio::awaitable<ClaimResult> claim(
    platform::Store store, std::string key, std::string attempt, kernel::Duration timeout)
{
    const auto bounded = withTimeout(store, timeout);
    const auto written = co_await platform::put(bounded, key, attempt, 0);
    if (written) {
        co_return claimed();
    }
    if (written.error().code == ResultCode::PlatformUnreachable) {
        co_return unavailable(ResultCode::PlatformUnreachable);
    }
    const bool exists = written.error().code == ResultCode::VersionConflict;
    const auto found = co_await platform::get(bounded, key);
    if (found && found->value == attempt) {
        co_return claimed();
    }
    if (found || exists) {
        co_return claimedByOther();
    }
    co_return unavailable(
        found.error().code == ResultCode::KeyNotFound ? written.error().code : found.error().code);
}

} // namespace wasabiroad::traffic
