#include <array>
#include <fstream>
#include <sstream>

#include <boost/filesystem.hpp>
#include <boost/process/child.hpp>
#include <boost/process/search_path.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace fs = boost::filesystem;

std::string read(const fs::path& path)
{
    std::ostringstream text;
    text << std::ifstream { path.string() }.rdbuf();
    return text.str();
}

const std::array<std::string, 4> files { "peer/generated/peer.pb.h", "peer/generated/peer.pb.cc",
    "jobs/generated/jobs.pb.h", "jobs/generated/jobs.pb.cc" };

/** Guards against a schema that was changed without its committed code. */
BOOST_DATA_TEST_CASE(committed_code_matches_the_schema, boost::unit_test::data::make(files), file)
{
    const fs::path source { SOURCE_DIR };
    if (boost::process::search_path("protoc").empty()) {
        BOOST_TEST_MESSAGE("protoc is not installed; the comparison was not made");
        return;
    }
    const auto folder = fs::temp_directory_path() / fs::unique_path();
    fs::create_directory(folder);
    boost::process::child generate { (source / "tools/generate.sh").string(), folder.string() };
    generate.wait();
    BOOST_TEST(generate.exit_code() == 0);
    const bool matches = read(folder / "wasabiroad" / file) == read(source / "src/wasabiroad" / file);
    fs::remove_all(folder);
    BOOST_TEST(matches);
}

} // namespace
