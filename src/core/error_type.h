// The closed list of error kinds. Each has one row in table/error_table.h.
#pragma once

namespace mangohall {

// What became of a request, or why it was refused.
enum class ErrorKind {
    None,
    MalformedBody,
    UnknownField,
    InvalidValue,
    BodyTooLarge,
    Unauthenticated,
    PermissionDenied,
    NotFound,
    UnknownJob,
    NoSuchJob,
    UnknownOrganisation,
    UnknownService,
    KeyReused,
    RevisionConflict,
    NeverFits,
    GuaranteeDoesNotPack,
    QueueFull,
    RateLimited,
    TooManyConnections,
    TooManyWatches,
    DeadlineUnreachable,
    DeadlineMissed,
    CancelledBeforeRun,
    CancelledWhileRunning,
    TaskFailed,
    Preempted,
    OutcomeUnknown,
    StoreUnavailable,
    StoreRefused,
    ManifestStale,
    OwnerUnreachable,
    // The request may have been sent; its connection has ended, and nobody listens at the address any more.
    PeerGone,
    Draining,
    WatchExpired,
    TimedOut,
    Internal,
};

// Whether the job of a request ran.
enum class Execution {
    Ran,
    NotRun,
    Unknown,
};

} // namespace mangohall
