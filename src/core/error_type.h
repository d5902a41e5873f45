// The complete list of error kinds. Each has one row in table/error_table.h.
#pragma once

namespace mangohall {

// The outcome of a request, or the reason of its refusal.
enum class ErrorKind {
    None,
    // The body is not valid in its encoding.
    MalformedBody,
    // The body has a field that does not exist.
    UnknownField,
    // A field has a value outside its range.
    InvalidValue,
    BodyTooLarge,
    Unauthenticated,
    PermissionDenied,
    // The resource does not exist.
    NotFound,
    // The job is not known here; its submission may still be in transit.
    UnknownJob,
    // The store has confirmed that no such job was accepted.
    NoSuchJob,
    UnknownOrganisation,
    UnknownService,
    // The request key was used before for a different job.
    KeyReused,
    // The stored revision is not the expected one.
    RevisionConflict,
    // No placement can ever satisfy the job's shape.
    NeverFits,
    // The cells of all guarantees do not fit into the declared shards.
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
    // The job was stopped because its capacity was reclaimed.
    Preempted,
    // The job may or may not have run to its end.
    OutcomeUnknown,
    // The store did not answer; the request may or may not have taken effect.
    StoreUnavailable,
    // The store refused the request and did nothing.
    StoreRefused,
    // The manifest has not been read, or has not been confirmed for too long.
    ManifestStale,
    // The node or worker that has to answer cannot be reached.
    OwnerUnreachable,
    // The connection ended after the request may have been sent, and nothing listens at the address any more.
    PeerGone,
    // The node is shutting down.
    Draining,
    // The changes after the given revision are no longer available.
    WatchExpired,
    TimedOut,
    Internal,
};

// Whether the job or change that a request asked for was carried out.
enum class Execution {
    Ran,
    NotRun,
    Unknown,
};

} // namespace mangohall
