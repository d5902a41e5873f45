#include "adapters/api/token_table_base.h"

#include <cstddef>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr absl::string_view bearerPrefix = "Bearer ";

// Compares in a time that depends on the length of the given token only, so that it does not reveal matching
// characters.
bool isEqualInConstantTime(absl::string_view given, absl::string_view token)
{
    unsigned char difference = given.size() == token.size() ? 0 : 1;
    for (std::size_t index = 0; index < given.size(); ++index) {
        const char expected = token[index % token.size()];
        difference |= static_cast<unsigned char>(given[index] ^ expected);
    }
    return difference == 0;
}

} // namespace

TokenTable::TokenTable(absl::Span<const TokenEntry> entries)
{
    for (const TokenEntry& entry : entries) {
        // An empty token would authenticate requests without a token.
        if (!entry.token.empty())
            m_entries.push_back(entry);
    }
}

absl::StatusOr<Identity> TokenTable::identify(absl::string_view authorization) const
{
    if (!absl::StartsWithIgnoreCase(authorization, bearerPrefix))
        return makeError(ErrorKind::Unauthenticated, "a bearer token is required");
    const absl::string_view given = absl::StripAsciiWhitespace(authorization.substr(bearerPrefix.size()));
    const TokenEntry* found = nullptr;
    for (const TokenEntry& entry : m_entries) {
        if (isEqualInConstantTime(given, entry.token))
            found = &entry;
    }
    if (found == nullptr || given.empty())
        return makeError(ErrorKind::Unauthenticated, "the token is unknown");
    return Identity { found->isOperator, found->organisation };
}

} // namespace mangohall
