#include "batch/owner/due_index_base.h"

#include <string>

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000000);
const absl::Time later = start + absl::Seconds(1);

TEST(DueIndex, ListsDueKeysEarliestFirst)
{
    DueIndex<std::string> index;
    index.set("b", later);
    index.set("a", start);
    index.set("c", later + absl::Seconds(1));
    EXPECT_EQ(index.next(), start);
    EXPECT_EQ(index.dueBy(later), (std::vector<std::string> { "a", "b" }));
}

TEST(DueIndex, KeepsOneTimeForEachKey)
{
    DueIndex<std::string> index;
    index.set("a", start);
    index.set("a", later);
    EXPECT_TRUE(index.dueBy(start).empty());
    EXPECT_EQ(index.dueBy(later).size(), 1U);
}

TEST(DueIndex, RemovesAKeyThatIsNeverDue)
{
    DueIndex<std::string> index;
    index.set("a", start);
    index.set("a", absl::InfiniteFuture());
    EXPECT_EQ(index.next(), absl::InfiniteFuture());
    EXPECT_TRUE(index.dueBy(later).empty());
}

} // namespace
} // namespace mangohall::batch
