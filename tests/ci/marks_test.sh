#!/bin/bash
# .ci/marks on made-up tests: one for each mark that it must find, and what it must let be.
set -uo pipefail
judge=$(cd "$(dirname "$0")/../.." && pwd)/.ci/marks
place=$(mktemp -d)
trap 'rm -rf "$place"' EXIT
cd "$place" || exit 1
mkdir -p tests/lab
wrong=0

expect() {  # CODE FILE LINE
  printf '%s\n' "// A test." "$3" >"$2"
  local said ended=0
  said=$("$judge" "$2" 2>&1) || ended=$?
  if [ $ended -ne "$1" ] || { [ "$1" -eq 1 ] && ! grep -qxF -- "$2:2:$3" <<<"$said"; }; then
    echo "expected exit $1 of $2 with: $3"; echo "found exit $ended and: $said"; wrong=1
  fi
}

expect 1 tests/a_test.cpp '  EXPECT_NONFATAL_FAILURE(EXPECT_EQ(a, 5), "a");'
expect 1 tests/a_test.cpp '  EXPECT_FATAL_FAILURE(Run(), "a");'
expect 1 tests/a_test.cpp '#include <gtest/gtest-spi.h>'
expect 1 tests/a_test.cpp 'TEST_CASE("a story", "[!shouldfail]") {'
expect 1 tests/a_test.cpp 'TEST_CASE("a story", "[!mayfail]") {'
expect 1 tests/a_test.cpp 'TEST_CASE("a story", "[!hide]") {'
expect 1 tests/a_test.cpp 'TEST_CASE("a story", "[.slow]") {'
expect 1 tests/a_test.cpp 'TEST(Health, DISABLED_Counts) {'
expect 1 tests/a_test.cpp '  GTEST_SKIP();'
expect 1 tests/a_test.cpp '  if (file == nullptr) GTEST_SKIP() << "FLEET names no file";'
expect 1 tests/CMakeLists.txt 'set_tests_properties(a PROPERTIES WILL_FAIL TRUE)'
expect 1 tests/CMakeLists.txt 'set_tests_properties(a PROPERTIES DISABLED TRUE)'
expect 1 tests/CMakeLists.txt 'set_tests_properties(a PROPERTIES SKIP_RETURN_CODE 4)'
expect 1 tests/lab/report_test.cpp '  GTEST_SKIP() << "not today";'
expect 0 tests/lab/report_test.cpp '  if (folder == nullptr) GTEST_SKIP() << "WRITE_REPORTS is not set";'
expect 0 tests/a_test.cpp '  EXPECT_FALSE(failure.shouldfail);'
exit $wrong
