#include <set>

#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

TEST(ErrorTable, HasOneRowForEachKind)
{
    std::set<ErrorKind> kinds;
    std::set<std::string> names;
    for (const ErrorRow& row : errorTable) {
        kinds.insert(row.kind);
        names.insert(std::string(row.name));
    }
    const std::size_t kindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;
    EXPECT_EQ(kinds.size(), kindCount);
    EXPECT_EQ(names.size(), kindCount);
    EXPECT_EQ(std::size(errorTable), kindCount);
}

TEST(Error, KeepsItsKindInAStatus)
{
    for (const ErrorRow& row : errorTable)
        EXPECT_EQ(errorKindOf(makeError(row.kind, "reason")), row.kind);
}

TEST(Error, KeepsTheDelayOfItsSender)
{
    const absl::Status status = makeError(ErrorKind::TimedOut, "reason");
    EXPECT_EQ(senderDelayOf(status), absl::ZeroDuration());
    EXPECT_EQ(senderDelayOf(markSenderDelay(status, absl::Milliseconds(120))), absl::Milliseconds(120));
}

TEST(Error, TreatsAnyOtherStatusAsInternal)
{
    EXPECT_EQ(errorKindOf(absl::UnknownError("elsewhere")), ErrorKind::Internal);
}

TEST(ErrorTable, FindsKindsByName)
{
    for (const ErrorRow& row : errorTable)
        EXPECT_EQ(errorKindFromName(row.name), row.kind);
    EXPECT_EQ(errorKindFromName("noSuchKind"), absl::nullopt);
}

} // namespace
} // namespace mangohall
