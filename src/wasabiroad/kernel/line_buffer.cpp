#include "wasabiroad/kernel/line_buffer.hpp"

#include <utility>

namespace wasabiroad::kernel {

void LineBuffer::push(std::string line)
{
    if (this->lines.full()) {
        ++this->dropped;
    }
    this->lines.push_back(std::move(line));
}

LineBatch LineBuffer::take()
{
    std::string text;
    for (const auto& line : this->lines) {
        text += line;
    }
    this->lines.clear();
    return { std::move(text), std::exchange(this->dropped, 0) };
}

} // namespace wasabiroad::kernel
