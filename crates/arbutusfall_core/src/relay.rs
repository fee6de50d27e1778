//! Relay: forwards callers' requests unchanged to endpoints. A model request takes three exchanges: it reserves memory
//! at a decode engine, is prefilled, and is decoded. The platform that runs the VMs provides the list of endpoints, the
//! store that holds the lease for role orders, and the readiness probes.
//!
//! A call is a caller's request in progress. An exchange is one request to an endpoint with its answer. A call needs
//! one or more exchanges.
//!
//! A [`Relay`] takes one [`RelayEvent`] at a time and returns [`RelayEffect`]s as data, like [`crate::Node`]. The
//! driver holds the bytes of requests and answers; the relay sees only sizes, outcomes and times.

mod accounts;
mod buffers;
mod calls;
mod control;
mod crashes;
mod effect;
mod endpoints;
mod event;
mod explain;
mod facts;
mod limits;
mod load;
mod notice;
mod quota;
mod sending;
mod sharing;
mod streams;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::FastMap;
use arbutusfall_wire::FastSet;
use arbutusfall_wire::Name;

use crate::CallId;
use crate::timers::Timers;

use calls::budget::RetryBudget;
use calls::call::Call;
use calls::lifecycle::DRAIN_TIMEOUT;
use control::lease::Lease;
use control::roles::Roles;
use control::store_restoration::StoreRestoration;
use control::store_view::StoreView;
use crashes::crash_suspects::CrashSuspects;
use crashes::endpoint_ends::EndpointEnds;
use endpoints::list::Endpoints;
use endpoints::reachability::Reachability;
use endpoints::unproved_ends::UnprovedEnds;
use limits::endpoint_limits::EndpointLimits;
use limits::limited_queue::LimitedQueue;
use load::load_state::LoadState;
use quota::QuotaState;
use sending::waiting::WaitQueue;
use sharing::peers::Peers;
use sharing::shared_outbox::SharedOutbox;
use streams::stream_versions::StreamVersions;
use streams::unproved_streams::UnprovedStreams;

pub use accounts::account::AccountQuota;
pub use accounts::account::ClientAccount;
pub use accounts::account::QuotaUnit;
pub use accounts::api_key::ApiKey;
pub use accounts::credential::Credential;
pub use accounts::sent_account::SentAccount;
pub use accounts::table::AccountTable;
pub use accounts::table::AccountTableError;
pub use buffers::answer_pace::AnswerPace;
pub use buffers::answer_pace::SlowRead;
pub use buffers::answer_pace::UnreadLimits;
pub use buffers::buffer_budget::*;
pub use buffers::buffer_limits::BufferLimits;
pub use calls::budget::RetryLimit;
pub use calls::request_key::RequestHashKey;
pub use calls::request_key::RequestKey;
pub use calls::request_key::RequestKeys;
pub use calls::token_counts::TokenCounts;
pub use control::configuration::ConfigStatus;
pub use control::lease::LeaseAnswer;
pub use control::routes::*;
pub use control::store_restoration::FIRST_ERA;
pub use crashes::crash_cause::CrashCause;
pub use crashes::crash_cause::CrashCauses;
pub use crashes::prompt_part::PartId;
pub use crashes::prompt_part::SharedParts;
pub use effect::*;
pub use endpoints::connect_answer::ConnectAnswer;
pub use endpoints::list::LIST_RECOVERY_GRACE;
pub use endpoints::run_status::RunAnswer;
pub use endpoints::run_status::UnknownRun;
pub use endpoints::slow_start_counts::SlowStartCounts;
pub use endpoints::slow_start_handling::SlowStartStatus;
pub use event::*;
pub use explain::*;
pub use facts::*;
pub use limits::limit_handling::LimitStatus;
pub use load::load_state::LoadCounts;
pub use load::load_state::LoadStatus;
pub use notice::RelayNotice;
pub use quota::*;
pub use sending::exclusion::Exclusion;
pub use sending::send_permission::SendPermission;
pub use sharing::shared_record::*;

/// Time from the signal to stop until idle caller connections are closed: the platform stops sending new connections
/// after two failed readiness probes.
const CLOSE_CONNECTIONS_DELAY: Duration = Duration::from_millis(2_300);

/// Settings that a relay needs before any configuration is read.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Limit of the retries of all VMs together.
    pub retry_limit: RetryLimit,
    /// Lifetime of the lease whose holder orders role changes.
    pub lease_lifetime: Duration,
    /// Age of the endpoint list that no request is sent by while the list can be read.
    pub max_list_age: Duration,
    /// Random key that this VM proposes for hashes of requests.
    pub own_hash_key: RequestHashKey,
    /// Settings of the quotas of client accounts.
    pub quota: QuotaSettings,
    /// Name of this VM, and where it takes requests of other VMs, if it does.
    pub own_address: Option<(Name, PeerAddress)>,
    /// Whether endpoints that have started or failed get less load until they answer in time, and slow ones less than others.
    pub slow_start: bool,
}

/// Lateness of a timer from which this process counts as paused: what other VMs wrote meanwhile has not been read.
const PAUSE_TIME: Duration = Duration::from_millis(500);

/// Timers of the relay. A timer that finds nothing to do is ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RelayTimer {
    /// A call has reached its deadline.
    CallDeadline(CallId),
    /// An exchange may have exceeded its allowed silence.
    CheckSilence(ExchangeId),
    /// A standby exchange may have been held for too long.
    EndStandby(ExchangeId),
    /// Waiting requests may try to reserve memory again.
    RetryReservations,
    /// Endpoints that are no longer listed may be removed.
    RemoveUnlisted,
    /// The origin of the stream that a call goes on with may be looked up again.
    FindStream(CallId),
    /// A call has waited for the store to show everything again.
    RestorationMissed(CallId),
    /// An engine may be asked for streams that have begun there since it was asked.
    ProveRun(Name),
    /// An endpoint may be asked for answers that have ended with their connections since it was asked.
    ProveEnds(Name),
    /// Origins of streams may be due for recording.
    RecordStreams,
    /// Shares of limits may be due for review, or requests that wait for a limit for sending.
    Limits,
    /// Crashes may be due for review, or records that VMs share for appending.
    Shared,
    /// VMs have had time to agree on a key for hashes of requests.
    HashKeySettled,
    /// The lease is due for renewal.
    RenewLease,
    /// The rest that an endpoint asked for may have ended.
    RestEnded(Name),
    /// A call has waited for the end of a rest.
    SendAfterRest(CallId),
    /// A call has waited for endpoints to be reached again.
    SendWhenReached(CallId),
    /// Endpoints of a service to which connections failed may be due for a check.
    CheckReach(Name),
    /// Another VM may be asked again for facts of the store.
    FollowFacts,
    /// Plain requests that wait for the limit of a service may be due for sending, or the limit for its end.
    Load(Name),
    /// Requests may have waited long enough for their quota, or votes may be due for renewal.
    Quota,
    /// The split of engines between prefill and decode is due for review.
    ReviewRoles,
    /// The platform has had time to stop sending new connections.
    CloseConnections,
}

/// State of one VM's relay: its calls in progress and its view of the endpoints.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Newest configuration; none until the first is read.
    routes: Option<Arc<RouteTable>>,
    /// Routes of the first configuration.
    first_routes: FastSet<Name>,
    endpoints: Endpoints,
    reachability: Reachability,
    peers: Peers,
    /// Name of this VM, and where it takes requests of other VMs, if it does.
    own_address: Option<(Name, PeerAddress)>,
    store: StoreView,
    restoration: StoreRestoration,
    /// Calls whose stream's version is known once the store shows everything again.
    waiting_for_restoration: BTreeSet<CallId>,
    is_draining: bool,
    is_ready: bool,
    calls: FastMap<CallId, Call>,
    /// Calls by their exchange in progress.
    calls_by_exchange: FastMap<ExchangeId, CallId>,
    last_exchange: u64,
    /// Model requests that wait for decode engine memory or a timely prefill.
    wait_queue: WaitQueue,
    /// Longest caller timeout seen on each route; a clearly shorter one marks a request as a caller's retry.
    longest_caller_timeout: FastMap<Name, Duration>,
    budget: RetryBudget,
    stream_versions: StreamVersions,
    unproved_streams: UnprovedStreams,
    unproved_ends: UnprovedEnds,
    /// Instant of the earliest timer to record origins of streams.
    record_timer_due: Option<Duration>,
    /// Requests that broke off with their endpoints and have not been reviewed yet.
    endpoint_ends: EndpointEnds,
    crash_suspects: CrashSuspects,
    limits: EndpointLimits,
    limits_reviewed_at: Duration,
    limited_queue: LimitedQueue,
    /// Limits of plain services whose endpoints reject requests.
    load: LoadState,
    quota: QuotaState,
    shared_outbox: SharedOutbox,
    /// Instant of the earliest timer for crashes and shared records.
    shared_timer_due: Option<Duration>,
    /// Whether the records that VMs share have been read with a key for hashes of requests, or could not be.
    is_shared_known: bool,
    /// Key for hashes of requests: the one that VMs share, or this VM's own until one is read.
    hash_key: RequestHashKey,
    /// Whether the store has had this key.
    is_hash_key_shared: bool,
    /// Whether the store has returned from an older copy since the shared records were read.
    has_store_returned: bool,
    /// Whether all records that VMs share have been read.
    has_read_shared: bool,
    /// Whether a search for all newest records waits for the records that VMs share.
    is_newest_needed: bool,
    /// Whether the shared records that are read next may have been there for long.
    is_shared_news_late: bool,
    /// Services and their versions that VMs have recorded.
    recorded_versions: BTreeSet<(Name, Name)>,
    /// Number of VMs, as far as it is known.
    vm_count: u32,
    /// Whom this VM follows for facts of the store; none if it takes no connections of other VMs.
    fact_source: Option<FactSource>,
    /// Whether another VM has been asked for facts and has not answered yet.
    is_asking_for_facts: bool,
    lease: Lease,
    max_list_age: Duration,
    roles: Roles,
    timers: Timers<RelayTimer>,
    rng: fastrand::Rng,
    /// Time of the event being handled.
    now: Duration,
    effects: Vec<RelayEffect>,
}

impl Relay {
    /// Creates a relay without configuration or endpoints.
    pub fn new(settings: &RelaySettings, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let vm = format!("{:016x}", rng.clone().u64(..)).into();
        Self {
            routes: None,
            first_routes: FastSet::default(),
            endpoints: Endpoints::new(settings.slow_start),
            reachability: Reachability::default(),
            peers: Peers::default(),
            own_address: settings.own_address.clone(),
            store: StoreView::default(),
            restoration: StoreRestoration::default(),
            waiting_for_restoration: BTreeSet::new(),
            is_draining: false,
            is_ready: false,
            calls: FastMap::default(),
            calls_by_exchange: FastMap::default(),
            last_exchange: 0,
            wait_queue: WaitQueue::default(),
            longest_caller_timeout: FastMap::default(),
            budget: RetryBudget::new(settings.retry_limit),
            stream_versions: StreamVersions::new(settings.retry_limit.vm_count),
            unproved_streams: UnprovedStreams::default(),
            unproved_ends: UnprovedEnds::default(),
            record_timer_due: None,
            endpoint_ends: EndpointEnds::default(),
            crash_suspects: CrashSuspects::default(),
            limits: EndpointLimits::new(vm),
            limits_reviewed_at: Duration::ZERO,
            limited_queue: LimitedQueue::default(),
            load: LoadState::default(),
            quota: QuotaState::new(settings, seed),
            shared_outbox: SharedOutbox::new(settings.retry_limit.vm_count),
            shared_timer_due: None,
            is_shared_known: false,
            hash_key: settings.own_hash_key,
            is_hash_key_shared: false,
            has_store_returned: false,
            has_read_shared: false,
            is_newest_needed: false,
            is_shared_news_late: true,
            recorded_versions: BTreeSet::new(),
            vm_count: settings.retry_limit.vm_count,
            fact_source: settings.own_address.as_ref().map(|(vm, own)| {
                FactSource::new(vm.clone(), own.data_centre.clone(), own.strength)
            }),
            is_asking_for_facts: false,
            lease: Lease::new(settings.lease_lifetime),
            max_list_age: settings.max_list_age,
            roles: Roles::default(),
            timers: Timers::default(),
            rng,
            now: Duration::ZERO,
            effects: Vec::new(),
        }
    }

    /// Handles one event; `now` is monotonic.
    pub fn apply(&mut self, event: RelayEvent, now: Duration) -> RelayOutput {
        self.now = now;
        self.note_pause();
        self.on_event(event);
        self.update_quota_list();
        self.update_ready();
        RelayOutput {
            effects: std::mem::take(&mut self.effects),
            wake_at: self.timers.next_due(),
        }
    }

    /// Notes that this process did not run for some time, as when its VM is suspended.
    fn note_pause(&mut self) {
        let due = self.timers.next_due();
        if due.is_some_and(|due| due + PAUSE_TIME <= self.now) {
            self.crash_suspects.on_paused(self.now);
        }
    }

    /// Returns the limits on callers' requests from the newest configuration, or the defaults before the first.
    pub fn limits(&self) -> CallerLimits {
        let routes = self.routes.as_ref();
        routes.map_or_else(CallerLimits::default, |routes| routes.limits.clone())
    }

    /// Returns the key for hashes of requests.
    pub fn hash_key(&self) -> RequestHashKey {
        self.hash_key
    }

    fn on_event(&mut self, event: RelayEvent) {
        match event {
            RelayEvent::Started => self.on_started(),
            RelayEvent::Tick => self.on_tick(),
            RelayEvent::NewConfig(routes) => self.on_new_config(routes),
            RelayEvent::UnreadableConfig => self.on_unreadable_config(),
            RelayEvent::EndpointChanges(changes) => self.on_endpoint_changes(changes),
            RelayEvent::StoreRead { topic, failure } => self.on_store_read(topic, failure),
            RelayEvent::StoreSeen { era } => self.on_store_era(era),
            RelayEvent::StoreReturned { previous, era } => self.on_store_returned(previous, era),
            RelayEvent::ListKnown { as_of } => self.on_list_known(as_of),
            RelayEvent::RequestReceived(request) => self.on_request(*request),
            RelayEvent::CallerGone { call } => self.on_caller_gone(call),
            RelayEvent::Exchange { exchange, event } => self.on_exchange(exchange, event),
            RelayEvent::StreamLookup { call, lookup } => self.on_stream_lookup(call, lookup),
            RelayEvent::StreamsRecorded { succeeded } => self.on_streams_recorded(succeeded),
            RelayEvent::SharedRecords { records, is_full } if is_full => {
                self.on_all_shared_records(records);
            }
            RelayEvent::SharedRecords { records, .. } => self.on_shared_records(records),
            RelayEvent::ControlLimit { instance, per_s } => self.on_control_limit(instance, per_s),
            RelayEvent::ControlRest { instance, rest } => self.begin_rest(&instance, rest),
            RelayEvent::EndpointLeaves { instance } => self.on_endpoint_leaves(&instance),
            RelayEvent::EndpointChecked {
                instance,
                asked_at,
                answer,
            } => self.on_endpoint_checked(&instance, asked_at, answer),
            RelayEvent::RunChecked {
                instance,
                asked_at,
                answer,
            } => self.on_run_checked(&instance, asked_at, answer),
            RelayEvent::Unblock { cause } => self.unblock(&cause),
            RelayEvent::SharedAppended { succeeded } => self.on_shared_appended(succeeded),
            RelayEvent::FactsFollowed { vm, outcome } => self.on_facts_followed(&vm, outcome),
            RelayEvent::QuotaAnswered { vm, outcome } => self.on_quota_answered(&vm, &outcome),
            RelayEvent::NewestNeeded => self.on_newest_needed(),
            RelayEvent::Lease(answer) => self.on_lease(answer),
            RelayEvent::RoleOutcome { instance, outcome } => {
                self.on_role_outcome(instance, outcome);
            }
            RelayEvent::Terminate => self.on_terminate(),
            RelayEvent::DrainTimeout => self.on_drain_timeout(),
        }
    }

    fn on_started(&mut self) {
        self.renew_lease();
        self.review_roles();
    }

    fn on_tick(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                RelayTimer::CallDeadline(call) => self.on_call_deadline(call),
                RelayTimer::CheckSilence(exchange) => self.check_silence(exchange),
                RelayTimer::EndStandby(exchange) => self.end_standby(exchange),
                RelayTimer::RetryReservations => self.on_retry_reservations(),
                RelayTimer::FindStream(call) => self.begin_call(call),
                RelayTimer::RestorationMissed(call) => self.on_restoration_missed(call),
                RelayTimer::ProveRun(instance) => self.judge_streams(&instance),
                RelayTimer::ProveEnds(instance) => self.review_ends(&instance),
                RelayTimer::RecordStreams => self.record_streams(),
                RelayTimer::Shared => self.on_shared_timer(),
                RelayTimer::Limits => self.on_limit_timer(),
                RelayTimer::HashKeySettled => self.is_shared_known = true,
                RelayTimer::RenewLease => self.renew_lease(),
                RelayTimer::RestEnded(instance) => self.on_rest_ended(&instance),
                RelayTimer::SendAfterRest(call) => self.send_after_rest(call),
                RelayTimer::SendWhenReached(call) => self.send_when_reached(call),
                RelayTimer::CheckReach(service) => self.check_reach(&service),
                RelayTimer::FollowFacts => self.follow_facts(),
                RelayTimer::Load(service) => self.on_load_timer(&service),
                RelayTimer::Quota => self.on_quota_timer(),
                RelayTimer::ReviewRoles => self.review_roles(),
                RelayTimer::CloseConnections => self.effects.push(RelayEffect::CloseConnections),
                RelayTimer::RemoveUnlisted => self.remove_unlisted(),
            }
        }
    }

    fn on_endpoint_changes(&mut self, changes: Vec<EndpointListChange>) {
        let removes = changes
            .iter()
            .any(|change| !matches!(change, EndpointListChange::Listed(_)));
        for notice in self.endpoints.apply(changes, self.now) {
            self.note(notice);
        }
        self.update_versions();
        if removes {
            let due = self.endpoints.removals_delayed_until();
            self.timers
                .set(due.max(self.now), RelayTimer::RemoveUnlisted);
        }
    }

    /// Handles an endpoint that says itself that it is leaving.
    fn on_endpoint_leaves(&mut self, instance: &Name) {
        if let Some(notice) = self.endpoints.on_leaving(instance, self.now) {
            self.note(notice);
        }
    }

    fn remove_unlisted(&mut self) {
        for notice in self.endpoints.remove_unlisted(self.now) {
            self.note(notice);
        }
        self.update_versions();
    }

    /// Takes over the versions of the listed endpoints; streams must be recorded from the second one on.
    fn update_versions(&mut self) {
        let versions = self.endpoints.versions();
        self.stream_versions.on_endpoints(versions, self.now);
        self.judge_all_streams();
        self.judge_ends_by_list();
        self.review_recorded_versions();
        self.set_record_timer();
    }

    fn on_terminate(&mut self) {
        if self.is_draining {
            return;
        }
        self.is_draining = true;
        let due = self.now + CLOSE_CONNECTIONS_DELAY;
        self.timers.set(due, RelayTimer::CloseConnections);
        self.effects.push(RelayEffect::ReleaseLease);
        let in_progress = self.calls.len();
        self.note(RelayNotice::Draining { in_progress });
    }

    fn on_drain_timeout(&mut self) {
        let mut open: Vec<CallId> = self.calls.keys().copied().collect();
        open.sort_unstable();
        for id in open {
            self.fail_call(id, DRAIN_TIMEOUT);
        }
    }

    fn update_ready(&mut self) {
        // Without endpoints this VM can only refuse requests; while it is not ready, the platform sends callers to
        // other VMs.
        // A VM that starts must not send prompts that others refuse.
        let can_serve = self.routes.is_some() && !self.endpoints.is_empty() && self.is_shared_known;
        let ready = can_serve && !self.is_draining;
        if ready == self.is_ready {
            return;
        }
        self.is_ready = ready;
        self.effects.push(RelayEffect::SetReady(ready));
        self.note(RelayNotice::Ready { ready });
        self.follow_facts();
    }

    fn note(&mut self, notice: RelayNotice) {
        self.effects.push(RelayEffect::Note(notice));
    }
}
