// Stable hashing. The result is the same in every process and every build, so it may decide owners and buckets.
#pragma once

#include <cstdint>

#include "absl/strings/string_view.h"

namespace mangohall {

// The first 64 bits of the text's SHA-1 digest.
std::uint64_t stableHash(absl::string_view text);

// The weight of a candidate for a key in rendezvous hashing: the candidate with the largest weight is preferred.
std::uint64_t rendezvousWeight(absl::string_view key, absl::string_view candidate);

} // namespace mangohall
