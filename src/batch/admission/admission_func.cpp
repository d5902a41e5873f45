#include "batch/admission/admission_func.h"

#include <algorithm>
#include <limits>

namespace mangohall::batch {

namespace {

constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

// The limit that holds from a share of the budget on, in sixteenths.
struct Threshold {
    std::int64_t sixteenths;
    AdmissionLimit limit;
};

constexpr std::int64_t mediumJobBytes = std::int64_t { 16 } << 10U;
constexpr Threshold thresholds[] = {
    { 15, { 0, 0 } },
    { 14, { 0, ordinaryJobBytes } },
    { 10, { ordinaryJobBytes, ordinaryJobBytes } },
    { 8, { mediumJobBytes, mediumJobBytes } },
    { 6, { smallJobBytes, smallJobBytes } },
};

AdmissionLimit limitAt(std::int64_t heldBytes, std::int64_t budgetBytes)
{
    for (const Threshold& threshold : thresholds) {
        if (heldBytes >= budgetBytes / 16 * threshold.sixteenths)
            return threshold.limit;
    }
    return { unlimited, unlimited };
}

} // namespace

absl::optional<AdmissionLimit> admissionLimitFor(
    std::int64_t heldBytes, std::int64_t budgetBytes, const absl::optional<AdmissionLimit>& present)
{
    AdmissionLimit limit = limitAt(heldBytes, budgetBytes);
    if (present) {
        const AdmissionLimit relaxed = limitAt(heldBytes + budgetBytes / 16, budgetBytes);
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
