#pragma once

#include <cstdint>

namespace wasabiroad::admission {

/** @brief Class of a request by its estimated run time. */
enum class WorkClass : std::uint8_t {
    Short,
    Long,
};

} // namespace wasabiroad::admission
