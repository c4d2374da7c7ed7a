// Tests of reading the configuration.
#include "config/config.h"

#include <gtest/gtest.h>

namespace {

using namespace alderspur;

TEST(ConfigTest, ThrowsConfigErrorWhenSettingsAreInvalid) {
  EXPECT_THROW(config::read("{"), config::Error);
  EXPECT_THROW(config::read(R"({"settings":{}})"), config::Error);
  EXPECT_NO_THROW(config::read(R"({"settings":{"classes":[{"name":"asset"}]}})"));
}

}  // namespace
