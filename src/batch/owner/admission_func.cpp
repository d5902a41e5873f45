#include "batch/owner/admission_func.h"

#include <algorithm>
#include <limits>

namespace mangohall::batch {

namespace {

constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

AdmissionLimit limitAt(std::int64_t heldBytes, std::int64_t budgetBytes)
{
    if (heldBytes >= budgetBytes * 7 / 8)
        return { 0, 0 };
    if (heldBytes >= budgetBytes * 3 / 4)
        return { 0, smallJobBytes };
    if (heldBytes >= budgetBytes / 2)
        return { smallJobBytes, smallJobBytes };
    return { unlimited, unlimited };
}

} // namespace

absl::optional<AdmissionLimit> admissionLimitFor(
    std::int64_t heldBytes, std::int64_t budgetBytes, const absl::optional<AdmissionLimit>& present)
{
    AdmissionLimit limit = limitAt(heldBytes, budgetBytes);
    if (present) {
        const AdmissionLimit relaxed = limitAt(heldBytes + budgetBytes / 8, budgetBytes);
        limit.maxJobBytes = std::min(limit.maxJobBytes, std::max(present->maxJobBytes, relaxed.maxJobBytes));
        limit.maxGuaranteedJobBytes = std::min(
            limit.maxGuaranteedJobBytes, std::max(present->maxGuaranteedJobBytes, relaxed.maxGuaranteedJobBytes));
    }
    if (limit.maxJobBytes == unlimited)
        return absl::nullopt;
    return limit;
}

bool isAdmitted(const absl::optional<AdmissionLimit>& limit, std::int64_t jobBytes, bool isGuaranteed)
{
    if (!limit)
        return true;
    return jobBytes <= (isGuaranteed ? limit->maxGuaranteedJobBytes : limit->maxJobBytes);
}

} // namespace mangohall::batch
