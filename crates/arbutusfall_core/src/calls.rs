//! Plain idempotent calls: routed, and retried within a budget.

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
use crate::ServiceOrder;
use crate::config::Role;
use crate::config::Route;
use crate::config::SiteConfig;
use crate::context::Context;
use crate::timers::Timer;

/// Most tries of one call.
const MAX_ATTEMPTS: u32 = 3;

/// Delay before the first retry of a call.
const FIRST_RETRY: Duration = Duration::from_millis(20);

/// Retries that may be made before any call earned one.
const INITIAL_RETRIES: f64 = 10.0;

/// When callers of a service that fails are asked to come back.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Idempotent calls in progress.
#[derive(Debug, Clone)]
pub(crate) struct Calls {
    calls: BTreeMap<CallId, Call>,
    /// Retries that may still be made; each call earns a share of one.
    ///
    /// Invariant: between 0 and [`INITIAL_RETRIES`].
    retry_tokens: f64,
    next_endpoint: usize,
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            calls: BTreeMap::new(),
            retry_tokens: INITIAL_RETRIES,
            next_endpoint: 0,
        }
    }
}

#[derive(Debug, Clone)]
struct Call {
    service: Name,
    timeout: Duration,
    /// Monotonic instant after which no try goes on.
    deadline: Duration,
    /// Whether a try is in progress, as opposed to the delay before the next.
    trying: bool,
    attempt: u32,
    failed: Vec<Name>,
    endpoint: Name,
}

/// Finds the service and route of a call: the longest prefix of whole segments wins.
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

/// Picks an endpoint of a service in turn, one that has not failed yet if there is one.
pub(crate) fn pick_endpoint(
    site: &SiteConfig,
    service: &Name,
    failed: &[Name],
    turn: usize,
) -> Option<Name> {
    let serving = site.endpoints.iter().filter(|(_, endpoint)| {
        endpoint.role == Role::Plain && endpoint.serves == *service && !endpoint.leaving
    });
    let names: Vec<&Name> = serving.map(|(name, _)| name).collect();
    let fresh: Vec<&Name> = names
        .iter()
        .filter(|name| !failed.contains(name))
        .copied()
        .collect();
    let choice = if fresh.is_empty() { names } else { fresh };
    if choice.is_empty() {
        return None;
    }
    Some(choice[turn % choice.len()].clone())
}

impl Calls {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Starts a call; the caller's account was admitted.
    pub(crate) fn start(
        &mut self,
        asked: &ServiceCall,
        service: &Name,
        route: &Route,
        ctx: &mut Context<'_>,
    ) {
        let earned = f64::from(ctx.site.limits.retry_budget_percent) / 100.0;
        self.retry_tokens = (self.retry_tokens + earned).min(INITIAL_RETRIES);
        let call = Call {
            service: service.clone(),
            timeout: route.timeout(),
            deadline: ctx.now.monotonic + Duration::from_millis(ctx.site.limits.answer_timeout_ms),
            trying: false,
            attempt: 0,
            failed: Vec::new(),
            endpoint: service.clone(),
        };
        self.calls.insert(asked.call, call);
        self.dispatch(asked.call, ctx);
    }

    fn dispatch(&mut self, id: CallId, ctx: &mut Context<'_>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        self.next_endpoint = self.next_endpoint.wrapping_add(1);
        let picked = pick_endpoint(ctx.site, &call.service, &call.failed, self.next_endpoint);
        let Some(endpoint) = picked else {
            self.give_up(id, ProblemKind::UpstreamFailed, ctx);
            return;
        };
        let left = call.deadline.saturating_sub(ctx.now.monotonic);
        let timeout = call.timeout.min(left);
        call.attempt += 1;
        call.trying = true;
        call.endpoint = endpoint.clone();
        let order = ServiceOrder {
            call: id,
            attempt: call.attempt,
            address: ctx.site.endpoints[&endpoint].address,
            endpoint,
            timeout,
            key: None,
        };
        ctx.set_timer(
            timeout,
            Timer::CallOverdue {
                call: id,
                attempt: call.attempt,
            },
        );
        ctx.push(Effect::CallService(order));
    }

    /// Passes the first answer on, from whichever try it comes; the call may be repeated, so each is as good.
    pub(crate) fn on_answered(&mut self, id: CallId, answer: ServiceAnswer, ctx: &mut Context<'_>) {
        if self.calls.remove(&id).is_none() {
            ctx.count(Counter::StaleMessages);
            return;
        }
        ctx.count(Counter::CallsAnswered);
        ctx.push(Effect::Answer { call: id, answer });
    }

    /// Tries again elsewhere if the budget allows it.
    pub(crate) fn on_failed(&mut self, id: CallId, attempt: u32, ctx: &mut Context<'_>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        // The same try may both fail and be overdue.
        if call.attempt != attempt || !call.trying {
            return;
        }
        call.trying = false;
        call.failed.push(call.endpoint.clone());
        if ctx.now.monotonic >= call.deadline {
            self.give_up(id, ProblemKind::AnswerTimeout, ctx);
            return;
        }
        if call.attempt >= MAX_ATTEMPTS || self.retry_tokens < 1.0 {
            self.give_up(id, ProblemKind::UpstreamFailed, ctx);
            return;
        }
        self.retry_tokens -= 1.0;
        ctx.count(Counter::CallsRetried);
        let doubled = FIRST_RETRY * 2u32.pow(call.attempt - 1);
        let spread = doubled.mul_f64(0.5 + ctx.rng.f64());
        ctx.set_timer(spread, Timer::RetryCall { call: id, attempt });
    }

    fn give_up(&mut self, id: CallId, kind: ProblemKind, ctx: &mut Context<'_>) {
        self.calls.remove(&id);
        ctx.count(Counter::CallsFailed);
        let problem = Problem::retry(kind, FAILED_RETRY_AFTER);
        ctx.push(Effect::Refuse { call: id, problem });
    }

    /// The delay before a retry is over.
    pub(crate) fn on_retry(&mut self, id: CallId, attempt: u32, ctx: &mut Context<'_>) {
        if self
            .calls
            .get(&id)
            .is_some_and(|call| call.attempt == attempt)
        {
            self.dispatch(id, ctx);
        }
    }

    /// Forgets a call whose caller is gone.
    pub(crate) fn on_caller_gone(&mut self, id: CallId) {
        self.calls.remove(&id);
    }
}
