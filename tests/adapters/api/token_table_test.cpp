// Authentication by bearer tokens.
#include "adapters/api/token_table_base.h"

#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

TokenTable makeTable()
{
    return TokenTable({
        { "operator-secret", true, OrganisationName() },
        { "zagara-secret", false, OrganisationName("zagara") },
        { "", true, OrganisationName() },
    });
}

TEST(TokenTable, KnowsOperatorsAndCallers)
{
    EXPECT_TRUE(makeTable().identify("Bearer operator-secret")->isOperator);
    const absl::StatusOr<Identity> caller = makeTable().identify("bearer zagara-secret");
    EXPECT_FALSE(caller->isOperator);
    EXPECT_EQ(caller->organisation, OrganisationName("zagara"));
}

TEST(TokenTable, RefusesOtherHeadersWithoutRepeatingThem)
{
    for (const absl::string_view header : { "", "Bearer", "Bearer ", "Basic operator-secret", "Bearer operator-secre",
             "Bearer operator-secret2", "Bearer operator-secretoperator-secret", "Bearer Operator-secret" }) {
        const absl::StatusOr<Identity> identity = makeTable().identify(header);
        EXPECT_EQ(errorKindOf(identity.status()), ErrorKind::Unauthenticated) << header;
        EXPECT_EQ(identity.status().message().find("secre"), absl::string_view::npos);
    }
}

} // namespace
} // namespace mangohall
