#include "wasabiroad/kernel/result_code.hpp"

#include <algorithm>
#include <array>

namespace wasabiroad::kernel {

namespace {

constexpr std::array table {
    ResultCodeInfo { ResultCode::Ok, "ok", "The operation succeeded." },
    ResultCodeInfo {
        ResultCode::DuplicatePlugin, "duplicate-plugin", "Two plug-ins registered the same name." },
    ResultCodeInfo { ResultCode::MissingDependency, "missing-dependency",
        "A plug-in depends on one that is not linked in." },
    ResultCodeInfo {
        ResultCode::DependencyCycle, "dependency-cycle", "Plug-ins depend on each other in a cycle." },
    ResultCodeInfo { ResultCode::ListenFailed, "listen-failed", "A listener could not bind its address." },
    ResultCodeInfo { ResultCode::InvalidArguments, "invalid-arguments", "The command line is not valid." },
    ResultCodeInfo { ResultCode::InvalidJson, "invalid-json", "A document is not well-formed JSON." },
    ResultCodeInfo {
        ResultCode::SchemaViolation, "schema-violation", "A value does not match the JSON Schema." },
    ResultCodeInfo {
        ResultCode::DuplicateIdentifier, "duplicate-identifier", "An identifier is declared twice." },
    ResultCodeInfo {
        ResultCode::UnknownReference, "unknown-reference", "A reference names nothing that is declared." },
    ResultCodeInfo {
        ResultCode::ValueOutOfRange, "value-out-of-range", "A number is outside its allowed range." },
    ResultCodeInfo { ResultCode::FileUnreadable, "file-unreadable", "A file could not be read." },
    ResultCodeInfo { ResultCode::DocumentTooLarge, "document-too-large",
        "A document exceeds the platform's limit for a value." },
    ResultCodeInfo {
        ResultCode::UnknownService, "unknown-service", "The request names a service that is not declared." },
    ResultCodeInfo {
        ResultCode::UnknownOperation, "unknown-operation", "The service does not declare the operation." },
    ResultCodeInfo {
        ResultCode::UnknownTeam, "unknown-team", "The request names a team that is not declared." },
    ResultCodeInfo { ResultCode::MalformedRequest, "malformed-request",
        "The request or one of its headers is malformed." },
    ResultCodeInfo { ResultCode::BodyTooLarge, "body-too-large", "The request body exceeds the limit." },
    ResultCodeInfo { ResultCode::QueueFull, "queue-full", "The queue of the service is at its bound." },
    ResultCodeInfo {
        ResultCode::DeadlineUnreachable, "deadline-unreachable", "The expected wait exceeds the deadline." },
    ResultCodeInfo { ResultCode::DeadlineExceeded, "deadline-exceeded",
        "The deadline passed before the request started." },
    ResultCodeInfo { ResultCode::NoUpstream, "no-upstream", "No upstream is eligible for the request." },
    ResultCodeInfo { ResultCode::QuotaExceeded, "quota-exceeded", "The team is over its quota." },
    ResultCodeInfo {
        ResultCode::UpstreamFailed, "upstream-failed", "The upstream failed and the retries are used up." },
    ResultCodeInfo { ResultCode::OutcomeUnknown, "outcome-unknown",
        "The request may have run; its outcome is not known." },
    ResultCodeInfo { ResultCode::Stopping, "stopping", "The daemon is shutting down." },
    ResultCodeInfo { ResultCode::Cancelled, "cancelled", "The caller cancelled the request." },
    ResultCodeInfo {
        ResultCode::TicketRequired, "ticket-required", "The unrepeatable operation needs a ticket." },
    ResultCodeInfo { ResultCode::TicketInvalid, "ticket-invalid",
        "The ticket is of another incarnation, expired or forged." },
    ResultCodeInfo {
        ResultCode::AlreadyRun, "already-run", "The unrepeatable request was submitted before." },
    ResultCodeInfo { ResultCode::OperationSuspended, "operation-suspended",
        "The operation failed on several upstreams and is suspended." },
    ResultCodeInfo {
        ResultCode::NeverRunnable, "never-runnable", "No declared VM can ever run the request." },
    ResultCodeInfo { ResultCode::NotConfigured, "not-configured", "No manifest is in force yet." },
    ResultCodeInfo {
        ResultCode::MethodNotAllowed, "method-not-allowed", "The HTTP method is not allowed for the path." },
    ResultCodeInfo { ResultCode::RetryBudgetExhausted, "retry-budget-exhausted",
        "The retry budget of the service is used up." },
    ResultCodeInfo { ResultCode::PlatformUnreachable, "platform-unreachable",
        "The platform did not accept the connection." },
    ResultCodeInfo { ResultCode::PlatformTimeout, "platform-timeout",
        "The platform did not answer in time; a write may have taken effect." },
    ResultCodeInfo {
        ResultCode::VersionConflict, "version-conflict", "A compare-and-swap found another version." },
    ResultCodeInfo { ResultCode::KeyNotFound, "key-not-found", "The key does not exist." },
    ResultCodeInfo { ResultCode::PlatformRejected, "platform-rejected", "The platform rejected the call." },
    ResultCodeInfo { ResultCode::LeaseExpired, "lease-expired", "The lease has expired." },
    ResultCodeInfo { ResultCode::CallNotTried, "call-not-tried",
        "A call was not sent, as it waited too long or its permission had ended." },
    ResultCodeInfo { ResultCode::GenerationConflict, "generation-conflict",
        "Another manifest generation came into force since the plan." },
    ResultCodeInfo {
        ResultCode::BudgetExhausted, "budget-exhausted", "The availability budget forbids the disruption." },
    ResultCodeInfo { ResultCode::UnknownVm, "unknown-vm", "The VM is not declared." },
    ResultCodeInfo { ResultCode::UnknownPool, "unknown-pool", "The pool is not declared." },
    ResultCodeInfo { ResultCode::TransitionNotAllowed, "transition-not-allowed",
        "The life cycle has no such transition." },
    ResultCodeInfo { ResultCode::WaveNotFound, "wave-not-found", "The wave is not declared." },
    ResultCodeInfo { ResultCode::StaleGeneration, "stale-generation",
        "A step names a generation that is no longer current." },
    ResultCodeInfo { ResultCode::NotInForceEverywhere, "not-in-force-everywhere",
        "Some daemons do not run the generation yet." },
    ResultCodeInfo { ResultCode::PeerUnauthenticated, "peer-unauthenticated", "A peer has no valid key." },
    ResultCodeInfo {
        ResultCode::PeerMessageInvalid, "peer-message-invalid", "A peer message could not be decoded." },
    ResultCodeInfo { ResultCode::PeerUnreachable, "peer-unreachable", "A peer did not answer." },
    ResultCodeInfo { ResultCode::DigestMismatch, "digest-mismatch", "A document does not match its digest." },
};

} // namespace

std::span<const ResultCodeInfo> resultCodes() { return table; }

std::string_view name(ResultCode code)
{
    const auto row = std::ranges::find(table, code, &ResultCodeInfo::code);
    return row == table.end() ? std::string_view { "unlisted" } : row->name;
}

} // namespace wasabiroad::kernel
