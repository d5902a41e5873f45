#include "batch/job/phase_name_func.h"

namespace mangohall::batch {

namespace {

struct PhaseRow {
    JobPhase phase;
    absl::string_view name;
};

constexpr PhaseRow phaseTable[] = {
    { JobPhase::Pending, "pending" },
    { JobPhase::Active, "active" },
    { JobPhase::Completed, "completed" },
    { JobPhase::Failed, "failed" },
    { JobPhase::Aborted, "aborted" },
};

} // namespace

absl::string_view phaseName(JobPhase phase)
{
    for (const PhaseRow& row : phaseTable) {
        if (row.phase == phase)
            return row.name;
    }
    return "";
}

absl::optional<JobPhase> phaseFromName(absl::string_view name)
{
    for (const PhaseRow& row : phaseTable) {
        if (row.name == name)
            return row.phase;
    }
    return absl::nullopt;
}

} // namespace mangohall::batch
