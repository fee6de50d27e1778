//! Log lines of the relay.

mod names;

use std::time::Duration;

use arbutusfall_wire::Name;
use serde::Serialize;

use crate::relay::BodyFraming;
use crate::relay::CrashCause;
use crate::relay::PartId;
use crate::relay::RequestKey;
use crate::relay::RunAnswer;
use crate::relay::SharedParts;
use crate::relay::StoreReadFailure;
use crate::relay::StoreTopic;
use crate::relay::UnknownRun;

/// A log line: a decision about a request, or a change in the VM's state.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum RelayNotice {
    /// The process is listening for callers.
    Started {
        /// Data centre in which the VM runs.
        data_centre: Name,
        /// Version of the program.
        version: &'static str,
    },
    /// All work is done and the process ends.
    Stopped,
    /// The process received SIGHUP: the settings file may have changed.
    SettingsChanged,
    /// A new version of the configuration is in force.
    ConfigInForce {
        /// The version.
        version: u64,
        /// Number of routes.
        routes: usize,
        /// Version that it replaces; none for the first one.
        replaced_version: Option<u64>,
        /// Time since the read of the configuration before this one: the longest time for which the version may have
        /// been in the store without being read. None for the first read.
        unread_ms: Option<u64>,
    },
    /// A version of the configuration was read but not put in force.
    ConfigIgnored {
        /// The version, if it could be parsed.
        version: Option<u64>,
        /// Version that stays in force.
        in_force: Option<u64>,
        /// `older` or `malformed`.
        reason: &'static str,
    },
    /// An endpoint is listed for the first time or with changed values.
    EndpointListed {
        /// Instance.
        instance: Name,
        /// Service that it belongs to.
        service: Name,
        /// Version of its software.
        version: Name,
        /// Unix time at which its process started, in milliseconds, if listed.
        started_unix_ms: Option<u64>,
        /// Whether it takes no new work.
        is_leaving: bool,
    },
    /// An endpoint is no longer used.
    EndpointGone {
        /// Instance.
        instance: Name,
    },
    /// An endpoint failed and is avoided for some time.
    EndpointAvoided {
        /// Instance.
        instance: Name,
        /// Service that it belongs to.
        service: Name,
        /// Time for which it is avoided.
        avoided_ms: u64,
    },
    /// An endpoint said in an answer that it is leaving: this VM sends it no more requests.
    EndpointLeaving {
        /// Instance.
        instance: Name,
        /// Service that it belongs to.
        service: Name,
    },
    /// An endpoint turned a request away and asked for rest: this VM sends it nothing meanwhile.
    EndpointResting {
        /// Instance.
        instance: Name,
        /// Service that it belongs to.
        service: Name,
        /// Time for which it asked.
        rest_ms: u64,
    },
    /// Connections to the endpoints of a service all fail: this VM is cut off from them, or they have ended.
    ServiceUnreachable {
        /// The service.
        service: Name,
    },
    /// An endpoint of an unreachable service has accepted a connection.
    ServiceReachable {
        /// The service.
        service: Name,
        /// Time for which it was unreachable.
        after_ms: u64,
    },
    /// An endpoint named a limit on its requests, or another one than before.
    EndpointLimited {
        /// Instance.
        instance: Name,
        /// Requests a second that it takes from all VMs together.
        per_s: f64,
        /// `own` (named to this VM) or `other_vm`.
        source: &'static str,
    },
    /// The limit of an endpoint is lifted.
    EndpointUnlimited {
        /// Instance.
        instance: Name,
        /// `own` (an answer to this VM named none) or `other_vm`.
        source: &'static str,
    },
    /// This VM limits the plain requests that it sends to a service, because endpoints of it reject them.
    ServiceLimited {
        /// The service.
        service: Name,
        /// Requests a second at first.
        per_s: f64,
    },
    /// The limit on requests to a service is lifted.
    ServiceUnlimited {
        /// The service.
        service: Name,
        /// Time for which it was limited.
        after_ms: u64,
    },
    /// An endpoint that had started or failed has answered in time often enough to be selected as before.
    SlowStartEnded {
        /// Instance.
        instance: Name,
        /// Service that it belongs to.
        service: Name,
        /// Time from its start, or its first failure, as this VM saw it.
        after_ms: u64,
    },
    /// An engine refused a request for which it had reserved memory, and is avoided for some time.
    EngineRefusing {
        /// Instance.
        instance: Name,
        /// Consecutive refusals of this kind.
        refusals: u32,
        /// Time for which it is avoided.
        avoided_ms: u64,
    },
    /// An engine whose connections broke off was asked when its process started.
    RunChecked {
        /// Instance.
        instance: Name,
        /// What it said.
        answer: RunAnswer,
        /// Whether its process is known to be the listed one.
        is_listed: bool,
    },
    /// Reads of a topic of the platform's store start to succeed or to fail.
    Store {
        /// The topic.
        topic: StoreTopic,
        /// Whether it is reachable.
        reachable: bool,
        /// Why the read failed; none if it succeeded.
        reason: Option<StoreReadFailure>,
        /// Time since the topic's last successful read; none if there was none.
        unread_ms: Option<u64>,
    },
    /// The store has returned from an older copy of its contents; its topics are read again.
    StoreReturned {
        /// Its era before.
        previous_era: u64,
        /// Its era now.
        era: u64,
    },
    /// Prompts with a part are refused from now on, because engines ended under it.
    PartBlocked {
        /// The part.
        part: PartId,
        /// Other causes that a request must have besides to be refused.
        with: Vec<CrashCause>,
        /// Engines that ended while a prompt with the part was in progress.
        crashed: Vec<Name>,
        /// `own` (decided by this VM) or `other_vm`.
        source: &'static str,
    },
    /// Prompts with a part are no longer refused.
    PartUnblocked {
        /// The part.
        part: PartId,
        /// `answered` (an engine completed such a prompt), `operator` or `other_vm`.
        reason: &'static str,
    },
    /// This VM knows from now on of a crash of an endpoint under a request with a cause.
    CrashEvidence {
        /// The cause.
        cause: CrashCause,
        /// Id of the crash.
        crash: Name,
        /// Endpoint that ended.
        instance: Name,
        /// `own` (seen by this VM) or `other_vm`.
        source: &'static str,
    },
    /// A crash no longer counts against a cause.
    CrashEvidenceRemoved {
        /// The cause.
        cause: CrashCause,
        /// Id of the crash.
        crash: Name,
        /// `disproved` (the endpoint answered, so it has not ended), `answered` (a request with the cause was completed),
        /// `operator`, `other_vm`, `expired` or `displaced` (by newer evidence).
        reason: &'static str,
    },
    /// A request and all its repeats are refused from now on, because endpoints ended that ran it.
    RequestBlocked {
        /// What the request has in common with its repeats.
        request_key: RequestKey,
        /// Parts that its prompt must have besides to be refused.
        with: Vec<CrashCause>,
        /// Endpoints that ended while the request was in progress.
        crashed: Vec<Name>,
        /// `own` (decided by this VM) or `other_vm`.
        source: &'static str,
    },
    /// A request and its repeats are no longer refused.
    RequestUnblocked {
        /// What the request has in common with its repeats.
        request_key: RequestKey,
        /// `answered` (an endpoint completed it), `operator` or `other_vm`.
        reason: &'static str,
    },
    /// A caller takes a broken-off stream up again.
    Resuming {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Id of the attempt that brought the stream's first event, if stated.
        first_attempt: Option<Name>,
        /// Id of the last event that the caller has.
        last_event_id: Name,
    },
    /// The version at which a stream that a caller takes up again must go on was found.
    GoesOn {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Version of the endpoint that began the stream.
        version: Name,
        /// How it is known: `own` (the stream began at this VM), `store`, or `only_version` of the service.
        source: &'static str,
    },
    /// It can't be known which software version began a stream, so it goes on nowhere.
    VersionUnknown {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Engine that began the stream.
        instance: Name,
        /// Why it can't be known.
        reason: UnknownRun,
    },
    /// A request was sent to an endpoint.
    Sent {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Instance that it was sent to.
        instance: Name,
        /// Version of the instance's software.
        version: Name,
        /// Unix time at which the listed process started, in milliseconds, if listed.
        started_unix_ms: Option<u64>,
        /// Id of the event after which a stream goes on; none for a request from its beginning.
        after_event_id: Option<u64>,
        /// Name of the request's route.
        route: Name,
        /// Work requested of the endpoint.
        work: &'static str,
        /// Number of exchanges sent for the request so far, including this one.
        attempt: u32,
        /// Time until the request's deadline.
        left_ms: u64,
        /// Version of the configuration.
        config_version: u64,
    },
    /// This VM does not take a request that another VM forwarded; nothing of it has run.
    Declined {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// The VM that forwarded it.
        from_vm: Option<Name>,
        /// `draining`, `not_ready`, `older_config`, `unreachable` (neither does this VM reach the service) or `busy`.
        reason: &'static str,
    },
    /// A request of another VM, which does not reach the endpoints itself, was taken.
    Taken {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// The VM that forwarded it.
        from_vm: Name,
    },
    /// A model request waits because decode engines are full or prefill engines are too busy.
    Waiting {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Requests that wait at this VM, including this one.
        waiting: usize,
        /// Estimated rate at which engines will grant this VM reservations, per second.
        grants_per_s: f64,
        /// Longest time for which it waits.
        at_most_ms: u64,
    },
    /// An endpoint's stream ended or failed; not written if the relay abandoned it.
    StreamEnded {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Instance that it was sent to.
        instance: Name,
        /// How the end of the stream is marked.
        framing: BodyFraming,
        /// Whether the end was reached: the stream has its length, its final chunk or, with neither, its connection
        /// ended without a failure.
        reached_end: bool,
        /// Id of the first event that has one.
        first_event_id: Option<u64>,
        /// Id of the last whole event, if any had one.
        last_event_id: Option<u64>,
        /// Bytes after the last whole event.
        partial_event_bytes: usize,
    },
    /// It was found out whether an answer that ended with its connection is complete, or nothing waits for that any more.
    EndChecked {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Instance that it was sent to.
        instance: Name,
        /// What was found of the process that wrote it.
        finding: &'static str,
        /// Time since the end of the answer.
        after_ms: u64,
    },
    /// An endpoint is silent; its exchange is kept while the request is moved to another endpoint.
    ExchangeSilent {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Instance that is silent.
        instance: Name,
        /// Time for which it has been silent.
        silent_ms: u64,
    },
    /// The move of a request from a silent endpoint ended without another endpoint that took it over; the exchange with the
    /// silent one goes on.
    MoveAbandoned {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Instance at which the request stays.
        instance: Name,
        /// `goes_on` if the instance is no longer silent; otherwise why no other endpoint took the request.
        reason: &'static str,
        /// Time since the move began.
        after_ms: u64,
    },
    /// An exchange ended without an answer to forward.
    ExchangeFailed {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Instance that it was sent to.
        instance: Name,
        /// Kind of failure.
        reason: &'static str,
        /// Time since the exchange was sent.
        after_ms: u64,
        /// Shared parts of the prompt, if the endpoint was to write the answer to it.
        parts: SharedParts,
        /// What the request has in common with its repeats, if the endpoint was to run it.
        request_key: Option<RequestKey>,
    },
    /// An endpoint's answer was forwarded to the caller.
    Answered {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Whether the request's route is missing in the first configuration that this process read.
        is_added_route: bool,
        /// HTTP status.
        status: u16,
        /// Time since the request arrived.
        after_ms: u64,
        /// Time from the request's arrival to the first event of a stream.
        first_event_ms: Option<u64>,
    },
    /// A request was refused or failed without an endpoint's answer.
    GivenUp {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Name of the request's route; none if no route matches.
        route: Option<Name>,
        /// Whether the request's route is missing in the first configuration that this process read.
        is_added_route: bool,
        /// Version of the configuration that applies to the request; none before the first.
        config_version: Option<u64>,
        /// HTTP status; none if a started stream was aborted.
        status: Option<u16>,
        /// Reason of the refusal or failure.
        reason: &'static str,
        /// Retry delay sent to the caller.
        retry_after_ms: Option<u64>,
        /// Time since the request arrived.
        after_ms: u64,
        /// Time since the request's deadline; 0 before it.
        late_ms: u64,
    },
    /// An endpoint's answer was to be forwarded, or a call had ended, but there was nothing to forward; the caller gets a
    /// problem instead. Not expected.
    AnswerMissing {
        /// Id that the caller gave to the request.
        request_id: Name,
    },
    /// The caller read nothing of its answer for too long, so its connection was reset.
    AnswerUnread {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Time for which it read nothing.
        unread_ms: u64,
    },
    /// The caller read too little of its answer while memory was short, so its connection was reset.
    AnswerReadSlowly {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Time for which its pace was measured.
        measured_ms: u64,
        /// Bytes that it read in that time.
        read_bytes: u64,
    },
    /// The caller disconnected before its answer was complete.
    CallerGone {
        /// Id that the caller gave to the request.
        request_id: Name,
        /// Time since the request arrived.
        after_ms: u64,
    },
    /// This VM follows another VM for facts of the store, or reads the store itself.
    FactSource {
        /// VM that it follows from now on; none if it reads the store.
        followed: Option<Name>,
        /// VM that it followed before.
        before: Option<Name>,
    },
    /// This VM took or gave up the ownership of a client account: it grants the tokens of the account's quota.
    QuotaOwner {
        /// Name of the account.
        account: Name,
        /// Whether this VM owns it from now on.
        owned: bool,
    },
    /// This VM gained or lost the lease for orders to engines.
    Lease {
        /// Whether this VM holds it.
        held: bool,
        /// Fencing token.
        token: u64,
    },
    /// An engine was ordered to change its role.
    RoleOrdered {
        /// Instance.
        instance: Name,
        /// New role.
        role: &'static str,
        /// Fencing token.
        token: u64,
    },
    /// A role order to an engine was answered or failed.
    RoleOutcome {
        /// Instance.
        instance: Name,
        /// Outcome of the order.
        outcome: &'static str,
    },
    /// Readiness probes start to succeed or to fail.
    Ready {
        /// Whether they succeed.
        ready: bool,
    },
    /// The process received the signal to stop and is draining.
    Draining {
        /// Requests in progress.
        in_progress: usize,
    },
}

/// Returns the whole milliseconds of a duration.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
