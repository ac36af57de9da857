#include "wasabiroad/tool/invocation.hpp"

#include "wasabiroad/http/endpoint.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace wasabiroad::tool {

cxxopts::Options makeOptions(const std::string& command, const std::string& summary)
{
    cxxopts::Options options { "wasabiroad " + command, summary };
    options.add_options()("output", "text or json", cxxopts::value<std::string>()->default_value("text"))(
        "h,help", "Print this help");
    return options;
}

Invocation::Invocation(cxxopts::Options commandOptions, int argc, const char* const* argv)
    : options(std::move(commandOptions))
    , arguments(this->options.parse(argc, argv))
{
    if (helped()) {
        std::cout << this->options.help();
    }
    if (text("output") != "text" && text("output") != "json") {
        throw cxxopts::exceptions::incorrect_argument_type { "output" };
    }
}

OutputFormat Invocation::format() const
{
    return text("output") == "json" ? OutputFormat::Json : OutputFormat::Text;
}

kernel::Expected<platform::Store> Invocation::platform() const
{
    const auto endpoint = http::parseEndpoint(text("platform"));
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    return platform::Store { platform::HttpStore { *endpoint } };
}

kernel::Expected<std::string> Invocation::file(const std::string& option) const
{
    const auto path = text(option);
    std::ostringstream content;
    if (path == "-") {
        content << std::cin.rdbuf();
        return content.str();
    }
    const std::ifstream stream { path };
    if (!stream) {
        return kernel::fail(
            kernel::ResultCode::FileUnreadable, path, "no readable file", "a readable file or -");
    }
    content << stream.rdbuf();
    return content.str();
}

} // namespace wasabiroad::tool
