#include "wasabiroad/bench/arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>

namespace wasabiroad::bench {

namespace {

constexpr double millisecondsPerSecond = 1000;
constexpr double microsecondsPerSecond = 1000000;

kernel::Duration atLeastOne(double milliseconds)
{
    return { std::max<std::int64_t>(1, std::llround(milliseconds)) };
}

} // namespace

ArrivalSequence::ArrivalSequence(const model::Manifest& manifest, const LoadProfile& loadProfile)
    : profile(loadProfile)
    , random(loadProfile.seed)
{
    for (const auto& service : manifest.services) {
        if (auto mix = mixOf(service, this->profile)) {
            this->mixes.emplace_back(std::move(*mix));
        }
    }
}

std::optional<ArrivalSequence::Mix> ArrivalSequence::mixOf(
    const model::Service& service, const LoadProfile& profile)
{
    // An operation counts as long when it is declared to run ten times as long as the shortest one.
    constexpr std::int64_t longRatio = 10;
    std::vector<model::Operation> operations;
    for (const auto& operation : service.operations) {
        if (operation.idempotent || profile.nonIdempotent) {
            operations.emplace_back(operation);
        }
    }
    if (operations.empty()) {
        return std::nullopt;
    }
    const auto shortest = std::ranges::min_element(operations, {}, &model::Operation::declared)->declared;
    std::vector<model::Operation> shortWork;
    std::vector<model::Operation> longWork;
    for (const auto& operation : operations) {
        (operation.declared >= shortest * longRatio ? longWork : shortWork).emplace_back(operation);
    }
    return Mix { service.id.text(), std::move(shortWork), std::move(longWork) };
}

const ArrivalSequence::Mix& ArrivalSequence::drawMix()
{
    const auto turn = static_cast<std::size_t>(
        this->seconds * millisecondsPerSecond / static_cast<double>(this->profile.burstLength.milliseconds));
    std::vector<double> weights(this->mixes.size(), this->profile.quietFactor);
    weights[turn % weights.size()] = this->profile.burstFactor;
    std::discrete_distribution<std::size_t> choose { weights.begin(), weights.end() };
    return this->mixes[choose(this->random)];
}

kernel::Duration ArrivalSequence::drawRunTime(kernel::Duration typical)
{
    // The location makes the mean of the distribution 1.
    std::lognormal_distribution<double> factor { -this->profile.spread * this->profile.spread / 2,
        this->profile.spread };
    return atLeastOne(static_cast<double>(typical.milliseconds) * factor(this->random));
}

kernel::Duration ArrivalSequence::drawDeclared(kernel::Duration runTime)
{
    constexpr std::uint32_t hundred = 100;
    if (this->random(hundred) >= this->profile.wrongPercent) {
        return runTime;
    }
    std::uniform_real_distribution<double> exponent { -1, 1 };
    return atLeastOne(static_cast<double>(runTime.milliseconds) * std::pow(10, exponent(this->random)));
}

std::optional<Arrival> ArrivalSequence::next()
{
    if (this->mixes.empty()) {
        return std::nullopt;
    }
    std::exponential_distribution<double> gap { this->profile.rate };
    this->seconds += gap(this->random);
    if (this->seconds * millisecondsPerSecond >= static_cast<double>(this->profile.length.milliseconds)) {
        return std::nullopt;
    }
    const auto& mix = drawMix();
    constexpr std::uint32_t hundred = 100;
    const bool isLong = this->random(hundred) < this->profile.longPercent;
    const auto& operations = isLong && !mix.longWork.empty() ? mix.longWork : mix.shortWork;
    const auto& operation = operations[this->random(static_cast<std::uint32_t>(operations.size()))];
    const auto typical
        = isLong && mix.longWork.empty() ? operation.declared * this->profile.longFactor : operation.declared;
    const auto runTime = drawRunTime(typical);
    const auto declared = drawDeclared(runTime);
    return Arrival {
        .at = static_cast<std::int64_t>(this->seconds * microsecondsPerSecond),
        .service = mix.service,
        .operation = operation.id.text(),
        .isLong = isLong,
        .idempotent = operation.idempotent,
        .runTime = runTime,
        .declared = declared,
        .deadline = operation.deadline,
        .balance = static_cast<std::uint32_t>(this->random()),
    };
}

} // namespace wasabiroad::bench
