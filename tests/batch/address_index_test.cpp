#include "batch/owner/address_index_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

TEST(AddressIndex, NamesTheWorkersAtAnAddress)
{
    AddressIndex index;
    index.add("a", WorkerName("w1"));
    index.add("a", WorkerName("w2"));
    index.add("b", WorkerName("w3"));
    EXPECT_EQ(index.workersAt("a").size(), 2U);
    index.remove("a", WorkerName("w1"));
    ASSERT_EQ(index.workersAt("a").size(), 1U);
    EXPECT_EQ(index.workersAt("a").front(), WorkerName("w2"));
    index.remove("a", WorkerName("w2"));
    EXPECT_TRUE(index.workersAt("a").empty());
    EXPECT_EQ(index.workersAt("b").size(), 1U);
}

TEST(AddressIndex, HasNoWorkerWithoutAnAddress)
{
    AddressIndex index;
    index.add("", WorkerName("w1"));
    EXPECT_TRUE(index.workersAt("").empty());
    index.remove("", WorkerName("w1"));
}

} // namespace
} // namespace mangohall::batch
