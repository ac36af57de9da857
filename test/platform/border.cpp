#include <fstream>
#include <string>

#include <boost/filesystem.hpp>
#include <boost/process/child.hpp>
#include <boost/process/io.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace data = boost::unit_test::data;
namespace fs = boost::filesystem;

struct Row {
    const char* line;
    const bool passes;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.line; }
};

const std::vector<Row> rows {
    { "const auto text = \"lease\";", true },
    { "const auto mayMiss = step.mayMiss;", true },
    { "const auto text = \"fencingToken\";", false },
    { "request(\"/kv-range?prefix=\");", false },
};

/** Guards against a border check that misses names of the platform in src/. */
BOOST_DATA_TEST_CASE(border_check_finds_names_of_the_platform, data::make(rows), row)
{
    const auto folder = fs::temp_directory_path() / fs::unique_path();
    fs::create_directories(folder / "src");
    std::ofstream { (folder / "src/file.cpp").string() } << row.line << "\n";
    boost::process::child check { std::string { SOURCE_DIR } + "/tools/check-border.sh", folder.string(),
        boost::process::std_out > boost::process::null };
    check.wait();
    fs::remove_all(folder);
    BOOST_TEST((check.exit_code() == 0) == row.passes);
}

} // namespace
