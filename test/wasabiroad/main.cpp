#define BOOST_TEST_MODULE wasabiroad
#include <boost/test/unit_test.hpp>
