#pragma once

#include "wasabiroad/kernel/result_code.hpp"

#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace wasabiroad::kernel {

/** @brief Description of a failure. */
struct Error {
    /** @brief Numbered code. */
    const ResultCode code;
    /** @brief Place of the fault: a JSON pointer, a key, a name or an address. */
    const std::string where {};
    /** @brief What was found there. */
    const std::string found {};
    /** @brief What is allowed there. */
    const std::string allowed {};

    friend bool operator==(const Error&, const Error&) = default;
};

using Errors = std::vector<Error>;

/** @brief Result of an operation that fails with one error. */
template <typename Value> using Expected = tl::expected<Value, Error>;

/** @brief Result of a check that reports all errors at once. */
template <typename Value> using Checked = tl::expected<Value, Errors>;

/** @brief Wraps an error for return from a function with an expected result. */
inline tl::unexpected<Error> fail(
    ResultCode code, std::string where = {}, std::string found = {}, std::string allowed = {})
{
    return tl::unexpected<Error>(Error { code, std::move(where), std::move(found), std::move(allowed) });
}

} // namespace wasabiroad::kernel
