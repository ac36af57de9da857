#pragma once

namespace wasabiroad::kernel {

/** @brief Builds one visitor for `std::visit` from several lambdas. */
template <typename... Functions> struct Overloaded : Functions... {
    using Functions::operator()...;
};

template <typename... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace wasabiroad::kernel
