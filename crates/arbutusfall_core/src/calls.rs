//! Idempotent calls to plain services: routing, and retries within a budget.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::Counter;
use crate::Effect;
use crate::Problem;
use crate::ProblemKind;
use crate::ServiceAnswer;
use crate::ServiceCall;
use crate::ServiceCommand;
use crate::config::Role;
use crate::config::Route;
use crate::config::SiteConfig;
use crate::context::Context;
use crate::timers::Timer;

/// Maximum attempts of one call.
const MAX_ATTEMPTS: u32 = 3;

/// Delay before the first retry of a call.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum and initial number of retries in the budget.
const MAX_RETRY_BUDGET: f64 = 10.0;

/// Retry delay sent to callers of a failed call.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Idempotent calls in progress.
#[derive(Debug, Clone)]
pub(crate) struct IdempotentCalls {
    calls: BTreeMap<CallId, Call>,
    /// Retries left in the budget; each call adds a fraction of one.
    ///
    /// Invariant: between 0 and [`MAX_RETRY_BUDGET`].
    retry_budget: f64,
    /// Number of dispatches, for round robin over endpoints.
    dispatch_count: usize,
}

impl Default for IdempotentCalls {
    fn default() -> Self {
        Self {
            calls: BTreeMap::new(),
            retry_budget: MAX_RETRY_BUDGET,
            dispatch_count: 0,
        }
    }
}

#[derive(Debug, Clone)]
struct Call {
    service: Name,
    timeout: Duration,
    /// Monotonic instant at which all attempts end.
    deadline: Duration,
    /// Whether an attempt is in flight; false during the delay before a retry.
    in_flight: bool,
    attempt: u32,
    failed_endpoints: Vec<Name>,
    /// Endpoint of the current attempt.
    endpoint: Name,
}

/// Returns the service and route of a call: the longest prefix of whole path segments wins.
pub(crate) fn find_route<'a>(
    site: &'a SiteConfig,
    method: &str,
    path: &str,
) -> Option<(&'a Name, &'a Route)> {
    let routes = site
        .services
        .iter()
        .flat_map(|(name, service)| service.routes.iter().map(move |route| (name, route)));
    routes
        .filter(|(_, route)| *route.method == *method && has_prefix(path, &route.path_prefix))
        .max_by_key(|(_, route)| route.path_prefix.len())
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Returns an endpoint of a service, round robin by `turn`. Failed endpoints are used only if there is no other.
pub(crate) fn pick_endpoint(
    site: &SiteConfig,
    service: &Name,
    failed_endpoints: &[Name],
    turn: usize,
) -> Option<Name> {
    let serving = site.endpoints.iter().filter(|(_, endpoint)| {
        endpoint.role == Role::Plain && endpoint.serves == *service && !endpoint.leaving
    });
    let names: Vec<&Name> = serving.map(|(name, _)| name).collect();
    let untried: Vec<&Name> = names
        .iter()
        .filter(|name| !failed_endpoints.contains(name))
        .copied()
        .collect();
    let choice = if untried.is_empty() { names } else { untried };
    if choice.is_empty() {
        return None;
    }
    Some(choice[turn % choice.len()].clone())
}

impl IdempotentCalls {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Starts a call that was admitted.
    pub(crate) fn start(
        &mut self,
        service_call: &ServiceCall,
        service: &Name,
        route: &Route,
        ctx: &mut Context<'_>,
    ) {
        let earned = f64::from(ctx.site_config.limits.retry_budget_percent) / 100.0;
        self.retry_budget = (self.retry_budget + earned).min(MAX_RETRY_BUDGET);
        let call = Call {
            service: service.clone(),
            timeout: route.timeout(),
            deadline: ctx.now.monotonic
                + Duration::from_millis(ctx.site_config.limits.answer_timeout_ms),
            in_flight: false,
            attempt: 0,
            failed_endpoints: Vec::new(),
            // Placeholder; `dispatch` sets the endpoint.
            endpoint: service.clone(),
        };
        self.calls.insert(service_call.call, call);
        self.dispatch(service_call.call, ctx);
    }

    fn dispatch(&mut self, id: CallId, ctx: &mut Context<'_>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        self.dispatch_count = self.dispatch_count.wrapping_add(1);
        let picked = pick_endpoint(
            ctx.site_config,
            &call.service,
            &call.failed_endpoints,
            self.dispatch_count,
        );
        let Some(endpoint) = picked else {
            self.fail(id, ProblemKind::UpstreamFailed, ctx);
            return;
        };
        let remaining = call.deadline.saturating_sub(ctx.now.monotonic);
        let timeout = call.timeout.min(remaining);
        call.attempt += 1;
        call.in_flight = true;
        call.endpoint = endpoint.clone();
        let command = ServiceCommand {
            call: id,
            attempt: call.attempt,
            address: ctx.site_config.endpoints[&endpoint].address,
            endpoint,
            timeout,
            key: None,
        };
        ctx.set_timer(
            timeout,
            Timer::IdempotentCallOverdue {
                call: id,
                attempt: call.attempt,
            },
        );
        ctx.push(Effect::CallService(command));
    }

    /// Forwards the first answer of any attempt; the attempts are interchangeable because the call is idempotent.
    pub(crate) fn on_answered(&mut self, id: CallId, answer: ServiceAnswer, ctx: &mut Context<'_>) {
        if self.calls.remove(&id).is_none() {
            ctx.count(Counter::StaleMessages);
            return;
        }
        ctx.count(Counter::CallsAnswered);
        ctx.push(Effect::Answer { call: id, answer });
    }

    /// Handles a failed or overdue attempt: schedules a retry if the deadline and the budget allow it.
    pub(crate) fn on_failed(&mut self, id: CallId, attempt: u32, ctx: &mut Context<'_>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        // The same attempt may both fail and become overdue.
        if call.attempt != attempt || !call.in_flight {
            return;
        }
        call.in_flight = false;
        call.failed_endpoints.push(call.endpoint.clone());
        if ctx.now.monotonic >= call.deadline {
            self.fail(id, ProblemKind::AnswerTimeout, ctx);
            return;
        }
        if call.attempt >= MAX_ATTEMPTS || self.retry_budget < 1.0 {
            self.fail(id, ProblemKind::UpstreamFailed, ctx);
            return;
        }
        self.retry_budget -= 1.0;
        ctx.count(Counter::CallsRetried);
        let backoff = FIRST_RETRY_DELAY * 2u32.pow(call.attempt - 1);
        let jittered = backoff.mul_f64(0.5 + ctx.rng.f64());
        ctx.set_timer(jittered, Timer::RetryIdempotentCall { call: id, attempt });
    }

    fn fail(&mut self, id: CallId, kind: ProblemKind, ctx: &mut Context<'_>) {
        self.calls.remove(&id);
        ctx.count(Counter::CallsFailed);
        let problem = Problem::retry(kind, FAILED_RETRY_AFTER);
        ctx.push(Effect::AnswerProblem { call: id, problem });
    }

    /// Dispatches a retry after its delay.
    pub(crate) fn on_retry(&mut self, id: CallId, attempt: u32, ctx: &mut Context<'_>) {
        if self
            .calls
            .get(&id)
            .is_some_and(|call| call.attempt == attempt)
        {
            self.dispatch(id, ctx);
        }
    }

    /// Removes a call whose caller disconnected.
    pub(crate) fn on_caller_gone(&mut self, id: CallId) {
        self.calls.remove(&id);
    }
}
