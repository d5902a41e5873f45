// Decides what becomes of a job from how the parts of its attempt ended.
#pragma once

#include <string>

#include "absl/types/span.h"
#include "job/ledger_type.h"

namespace mangohall {

// What happens to the job after the attempt.
enum class AttemptDecision {
    // The job ends with the outcome given.
    End,
    // The job waits for capacity again under the next attempt number.
    Retry,
};

// The decision on an ended attempt.
struct AttemptOutcome {
    AttemptDecision decision = AttemptDecision::End;
    // The outcome of the job if it ends; None means success.
    ErrorKind outcome = ErrorKind::None;
    // The reason of the outcome, for the caller; empty on success.
    std::string message;
    // The checkpoint from which the next attempt resumes; empty if it starts from the beginning.
    std::string checkpoint;
};

// Whether there is a part and every part is in the phase.
bool allInPhase(absl::Span<const AttemptPart> parts, PartPhase phase);

// Decides the outcome of an attempt; requires that every part has ended. A job that is not idempotent is retried only
// if it is proved that no task of the attempt executed anything, or if the attempt left a checkpoint.
AttemptOutcome decideOutcome(const JobRecord& record, absl::Span<const AttemptPart> parts);

} // namespace mangohall
