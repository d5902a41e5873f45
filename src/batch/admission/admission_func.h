// Decides how large the jobs may be that are submitted, by the memory that the owner has left for jobs.
#pragma once

#include <cstdint>

#include "absl/types/optional.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// A job of at most this footprint may still be admitted when larger ones are refused.
inline constexpr std::int64_t smallJobBytes = std::int64_t { 64 } << 10U;
// The largest jobs of ordinary callers, of a few steps, are smaller than this.
inline constexpr std::int64_t ordinaryJobBytes = std::int64_t { 8 } << 10U;

// The limit for an owner whose jobs take `heldBytes` of its budget; none while all jobs are admitted. The more is held,
// the smaller the jobs that are admitted: ordinary ones up to seven eighths of the budget, and those of organisations
// with a guarantee a little longer. `present` is the limit that holds now: it is relaxed only once a sixteenth less is
// held.
absl::optional<AdmissionLimit> admissionLimitFor(
    std::int64_t heldBytes, std::int64_t budgetBytes, const absl::optional<AdmissionLimit>& present);

// Whether a job of this footprint may be submitted under the limit.
bool isAdmitted(const absl::optional<AdmissionLimit>& limit, std::int64_t jobBytes, bool isGuaranteed);

} // namespace mangohall::batch
