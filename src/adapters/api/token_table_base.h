#pragma once

#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "adapters/api/api_settings_type.h"
#include "node/caller_message_type.h"

namespace mangohall {

// Maps bearer tokens to identities. No error message contains a token.
class TokenTable {
public:
    // Entries with an empty token are ignored.
    explicit TokenTable(absl::Span<const TokenEntry> entries);

    // Returns the identity for the value of an Authorization header, "Bearer TOKEN". Unauthenticated if the header has
    // another form or the token is unknown. The duration does not depend on how many characters of a token match.
    absl::StatusOr<Identity> identify(absl::string_view authorization) const;

private:
    std::vector<TokenEntry> m_entries;
};

} // namespace mangohall
