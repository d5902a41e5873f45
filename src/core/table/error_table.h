// The table of error kinds: the name of each kind as callers see it, its HTTP status, whether the same request may be
// sent again, and whether the job or change that was requested was carried out.
#pragma once

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "core/error_type.h"

namespace mangohall {

// One row of the table.
struct ErrorRow {
    ErrorKind kind;
    // The name of the kind as callers see it.
    absl::string_view name;
    int httpStatus;
    // Whether the same request may be sent again.
    bool isRetryable;
    Execution execution;
    // The code of a status of this kind.
    absl::StatusCode code;
};

inline constexpr ErrorRow errorTable[] = {
    { ErrorKind::None, "none", 200, false, Execution::Ran, absl::StatusCode::kOk },
    { ErrorKind::MalformedBody, "malformedBody", 400, false, Execution::NotRun, absl::StatusCode::kInvalidArgument },
    { ErrorKind::UnknownField, "unknownField", 400, false, Execution::NotRun, absl::StatusCode::kInvalidArgument },
    { ErrorKind::InvalidValue, "invalidValue", 400, false, Execution::NotRun, absl::StatusCode::kInvalidArgument },
    { ErrorKind::BodyTooLarge, "bodyTooLarge", 413, false, Execution::NotRun, absl::StatusCode::kInvalidArgument },
    { ErrorKind::Unauthenticated, "unauthenticated", 401, false, Execution::NotRun,
        absl::StatusCode::kUnauthenticated },
    { ErrorKind::PermissionDenied, "permissionDenied", 403, false, Execution::NotRun,
        absl::StatusCode::kPermissionDenied },
    { ErrorKind::NotFound, "notFound", 404, false, Execution::NotRun, absl::StatusCode::kNotFound },
    // A submission may still be in transit.
    { ErrorKind::UnknownJob, "unknownJob", 404, false, Execution::Unknown, absl::StatusCode::kNotFound },
    // The store has confirmed that no such job was accepted.
    { ErrorKind::NoSuchJob, "noSuchJob", 410, false, Execution::NotRun, absl::StatusCode::kNotFound },
    { ErrorKind::UnknownOrganisation, "unknownOrganisation", 404, false, Execution::NotRun,
        absl::StatusCode::kNotFound },
    { ErrorKind::UnknownService, "unknownService", 404, false, Execution::NotRun, absl::StatusCode::kNotFound },
    { ErrorKind::KeyReused, "keyReused", 409, false, Execution::NotRun, absl::StatusCode::kAlreadyExists },
    { ErrorKind::RevisionConflict, "revisionConflict", 409, false, Execution::NotRun, absl::StatusCode::kAborted },
    { ErrorKind::NeverFits, "neverFits", 422, false, Execution::NotRun, absl::StatusCode::kFailedPrecondition },
    { ErrorKind::GuaranteeDoesNotPack, "guaranteeDoesNotPack", 422, false, Execution::NotRun,
        absl::StatusCode::kFailedPrecondition },
    { ErrorKind::QueueFull, "queueFull", 429, true, Execution::NotRun, absl::StatusCode::kResourceExhausted },
    { ErrorKind::RateLimited, "rateLimited", 429, true, Execution::NotRun, absl::StatusCode::kResourceExhausted },
    { ErrorKind::TooManyConnections, "tooManyConnections", 429, true, Execution::NotRun,
        absl::StatusCode::kResourceExhausted },
    { ErrorKind::TooManyWatches, "tooManyWatches", 429, true, Execution::NotRun, absl::StatusCode::kResourceExhausted },
    { ErrorKind::DeadlineUnreachable, "deadlineUnreachable", 422, false, Execution::NotRun,
        absl::StatusCode::kDeadlineExceeded },
    { ErrorKind::DeadlineMissed, "deadlineMissed", 504, false, Execution::NotRun, absl::StatusCode::kDeadlineExceeded },
    { ErrorKind::CancelledBeforeRun, "cancelledBeforeRun", 410, false, Execution::NotRun,
        absl::StatusCode::kCancelled },
    { ErrorKind::CancelledWhileRunning, "cancelledWhileRunning", 410, false, Execution::Ran,
        absl::StatusCode::kCancelled },
    { ErrorKind::TaskFailed, "taskFailed", 502, false, Execution::Ran, absl::StatusCode::kUnknown },
    { ErrorKind::Preempted, "preempted", 503, false, Execution::Ran, absl::StatusCode::kAborted },
    { ErrorKind::OutcomeUnknown, "outcomeUnknown", 502, false, Execution::Unknown, absl::StatusCode::kUnknown },
    { ErrorKind::StoreUnavailable, "storeUnavailable", 503, true, Execution::Unknown, absl::StatusCode::kUnavailable },
    // The store has replied that it did nothing.
    { ErrorKind::StoreRefused, "storeRefused", 503, true, Execution::NotRun, absl::StatusCode::kUnavailable },
    // The manifest has not been read, or has not been confirmed for too long.
    { ErrorKind::ManifestStale, "manifestStale", 503, true, Execution::NotRun, absl::StatusCode::kUnavailable },
    { ErrorKind::PeerGone, "peerGone", 502, false, Execution::Unknown, absl::StatusCode::kUnknown },
    { ErrorKind::OwnerUnreachable, "ownerUnreachable", 503, true, Execution::Unknown, absl::StatusCode::kUnavailable },
    { ErrorKind::Draining, "draining", 503, true, Execution::NotRun, absl::StatusCode::kUnavailable },
    { ErrorKind::WatchExpired, "watchExpired", 410, true, Execution::NotRun, absl::StatusCode::kOutOfRange },
    { ErrorKind::TimedOut, "timedOut", 202, true, Execution::Unknown, absl::StatusCode::kDeadlineExceeded },
    { ErrorKind::Internal, "internal", 500, false, Execution::Unknown, absl::StatusCode::kInternal },
};

} // namespace mangohall
