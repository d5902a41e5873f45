// Decides how large the jobs may be that are submitted, by the memory that the owner has left for jobs.
#pragma once

#include <cstdint>

#include "absl/types/optional.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// A job of at most this footprint is a small one, which is refused later than others. The largest jobs of ordinary
// callers are smaller.
inline constexpr std::int64_t smallJobBytes = std::int64_t { 64 } << 10U;

// The limit for an owner whose jobs take `heldBytes` of its budget; none while all jobs are admitted. From half of the
// budget on only small jobs are admitted, from three quarters on only small ones of organisations with a guarantee, and
// from seven eighths on none. `present` is the limit that holds now: it is relaxed only once an eighth less is held.
absl::optional<AdmissionLimit> admissionLimitFor(
    std::int64_t heldBytes, std::int64_t budgetBytes, const absl::optional<AdmissionLimit>& present);

// Whether a job of this footprint may be submitted under the limit.
bool isAdmitted(const absl::optional<AdmissionLimit>& limit, std::int64_t jobBytes, bool isGuaranteed);

} // namespace mangohall::batch
