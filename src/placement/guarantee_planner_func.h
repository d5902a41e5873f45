// Tests whether the declared racks can hold all declared guarantees together.
#pragma once

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "configuration/configuration_type.h"

namespace mangohall {

// Packs every cell of every guarantee into the empty racks of its shard, the largest cells first. If a shard is not
// declared or a cell does not fit, returns GuaranteeDoesNotPack, which names the guarantee and the shape of the first
// such cell.
absl::Status testGuaranteesPack(absl::Span<const ShardSpec> shards, absl::Span<const Guarantee> guarantees);

} // namespace mangohall
