#pragma once

#include "wasabiroad/model/manifest.hpp"

#include <optional>

#include <pcg_random.hpp>

namespace wasabiroad::bench {

/** @brief Shape of an open-loop load. */
struct LoadProfile {
    /** @brief Mean number of requests a second of all services together. */
    const double rate { 500 };
    const kernel::Duration length { 10000 };
    const std::uint64_t seed { 1 };
    /** @brief Time that each service's burst lasts; the services take turns. */
    const kernel::Duration burstLength { 3000 };
    /** @brief Rate of the service in its burst, as a multiple of its mean. */
    const double burstFactor { 5 };
    /** @brief Rate of the other services meanwhile. */
    const double quietFactor { 0.05 };
    const std::uint32_t longPercent { 5 };
    /** @brief Run time of long work relative to short work, where the service has no long operation. */
    const std::uint32_t longFactor { 50 };
    /** @brief Share of requests with a declared run time that is wrong by up to ten times. */
    const std::uint32_t wrongPercent { 10 };
    /** @brief Standard deviation of the logarithm of run times. */
    const double spread { 0.5 };
    /** @brief Whether operations that are not idempotent are part of the mix. */
    const bool nonIdempotent { true };

    friend auto operator<=>(const LoadProfile&, const LoadProfile&) = default;
};

/** @brief One request of a load. */
struct Arrival {
    /** @brief Intended send time in microseconds since the start of the load. */
    const std::int64_t at { 0 };
    const std::string service {};
    const std::string operation {};
    const bool isLong { false };
    const bool idempotent { true };
    const kernel::Duration runTime {};
    const kernel::Duration declared {};
    const kernel::Duration deadline {};
    /** @brief Uniform number by which a balancer chooses the daemon. */
    const std::uint32_t balance { 0 };

    friend auto operator<=>(const Arrival&, const Arrival&) = default;
};

/** @brief Draws the requests of a load in order of time; the same seed gives the same requests. */
class ArrivalSequence {
public:
    ArrivalSequence(const model::Manifest& manifest, const LoadProfile& profile);

    /** @return The next request, or nothing when the load is over. */
    std::optional<Arrival> next();

private:
    /** @brief Operations of one service, split by their declared run time. */
    struct Mix {
        const std::string service;
        const std::vector<model::Operation> shortWork;
        const std::vector<model::Operation> longWork;
    };

    static std::optional<Mix> mixOf(const model::Service& service, const LoadProfile& profile);
    const Mix& drawMix();
    kernel::Duration drawRunTime(kernel::Duration typical);
    kernel::Duration drawDeclared(kernel::Duration runTime);

    const LoadProfile profile;
    std::vector<Mix> mixes {};
    pcg64 random;
    double seconds { 0 };
};

} // namespace wasabiroad::bench
