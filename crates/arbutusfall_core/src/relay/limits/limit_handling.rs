//! What names and lifts the limits of endpoints, at this VM and at the others, and which limit an endpoint has.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::relay::EndpointRun;
use crate::relay::ExchangeId;
use crate::relay::NamedLimit;
use crate::relay::Relay;
use crate::relay::RelayNotice;
use crate::relay::ShareHolder;
use crate::relay::SharedRecord;
use crate::relay::crashes::endpoint_ends::incarnation;
use crate::relay::endpoints::endpoint::Endpoint;
use crate::relay::limits::endpoint_limit::EndpointLimit;

pub(in crate::relay) fn run_of(endpoint: &Endpoint) -> EndpointRun {
    let listed = &endpoint.listed;
    EndpointRun::new(incarnation(&listed.instance, listed.started_unix_ms))
}

impl Relay {
    /// Handles the limit that an endpoint's answer to the call's exchange names.
    pub(in crate::relay) fn on_limit_named(
        &mut self,
        id: CallId,
        exchange: ExchangeId,
        per_s: f64,
    ) {
        let Some((instance, sent_at)) = self.sent_to(id, exchange) else {
            return;
        };
        self.name_limit(instance, per_s, sent_at);
    }

    /// Returns the endpoint of an exchange of the call, current or in standby, and when it was sent; none if another process is
    /// listed by now, about which the answer says nothing.
    pub(in crate::relay) fn sent_to(
        &self,
        id: CallId,
        exchange: ExchangeId,
    ) -> Option<(Name, Duration)> {
        let call = self.calls.get(&id)?;
        let standby = call.standby.as_ref().map(|standby| &standby.exchange);
        let mut exchanges = call.current.iter().chain(standby);
        let sent = exchanges.find(|sent| sent.exchange == exchange)?;
        let is_current = self
            .endpoints
            .may_be_listed_run(&sent.instance, sent.started_unix_ms);
        is_current.then(|| (sent.instance.clone(), sent.sent_at))
    }

    /// Handles the limit that an engine's answer to a control request names.
    pub(in crate::relay) fn on_control_limit(&mut self, instance: Name, per_s: f64) {
        self.name_limit(instance, per_s, self.now);
    }

    fn name_limit(&mut self, instance: Name, per_s: f64, sent_at: Duration) {
        let Some(endpoint) = self.endpoints.get(&instance) else {
            return;
        };
        let run = run_of(endpoint);
        if !self.limits.on_named(&run, per_s, sent_at, self.now) {
            return;
        }
        self.note_limit(instance.clone(), Some(per_s), "own");
        let limit = Some(NamedLimit { instance, per_s });
        let record = SharedRecord::Limit { run, limit };
        self.shared_outbox.push(record, self.now);
        self.set_shared_timer();
        self.set_limit_timer();
    }

    /// Handles an answer to the call's exchange that names no limit although the endpoint had one when it was sent.
    pub(in crate::relay) fn on_limit_absent(&mut self, id: CallId, exchange: ExchangeId) {
        let Some((instance, sent_at)) = self.sent_to(id, exchange) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get(&instance) else {
            return;
        };
        let run = run_of(endpoint);
        let Some(limit) = self.limits.on_absent(&run, sent_at, self.now) else {
            return;
        };
        self.note_limit(instance, None, "own");
        self.delete_limit(run, &limit, self.now);
        self.on_limits_changed();
    }

    pub(in crate::relay) fn delete_limit(
        &mut self,
        run: EndpointRun,
        limit: &EndpointLimit,
        due: Duration,
    ) {
        for number in 0..limit.share_count() {
            let record = SharedRecord::Share {
                run: run.clone(),
                number,
                holder: None,
            };
            self.shared_outbox.push(record, due);
        }
        let record = SharedRecord::Limit { run, limit: None };
        self.shared_outbox.push(record, due);
        self.set_shared_timer();
    }

    /// Returns the number of endpoints with a limit, and of shares of these limits that this VM holds.
    pub fn limit_status(&self) -> LimitStatus {
        let limits = self.limits.iter().map(|(_, limit)| limit);
        LimitStatus {
            endpoints: limits.clone().count(),
            held_shares: limits.map(EndpointLimit::held_count).sum(),
        }
    }

    fn note_limit(&mut self, instance: Name, per_s: Option<f64>, source: &'static str) {
        self.note(match per_s {
            Some(per_s) => RelayNotice::EndpointLimited {
                instance,
                per_s,
                source,
            },
            None => RelayNotice::EndpointUnlimited { instance, source },
        });
    }

    /// Handles the limit that another VM has recorded, or its end.
    pub(in crate::relay) fn on_shared_limit(
        &mut self,
        run: &EndpointRun,
        limit: Option<NamedLimit>,
    ) {
        let source = "other_vm";
        if let Some(limit) = limit {
            if self.limits.on_recorded(run, limit.per_s, self.now) {
                self.note_limit(limit.instance, Some(limit.per_s), source);
            }
        } else if self.limits.remove(run).is_some() {
            if let Some(instance) = self.instance_of(run) {
                self.note_limit(instance, None, source);
            }
            self.on_limits_changed();
        }
        self.set_limit_timer();
    }

    /// Handles a record of a share of a limit.
    pub(in crate::relay) fn on_shared_share(
        &mut self,
        run: &EndpointRun,
        number: usize,
        holder: Option<ShareHolder>,
    ) {
        self.limits.on_share(run, number, holder, self.now);
    }

    pub(in crate::relay) fn instance_of(&self, run: &EndpointRun) -> Option<Name> {
        let mut endpoints = self.endpoints.iter();
        let endpoint = endpoints.find(|endpoint| run_of(endpoint) == *run)?;
        Some(endpoint.listed.instance.clone())
    }

    pub(in crate::relay) fn limit_of(&self, endpoint: &Endpoint) -> Option<&EndpointLimit> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.get(&run_of(endpoint))
    }

    /// Returns whether the endpoint has a limit.
    pub(in crate::relay) fn is_limited(&self, instance: &Name) -> bool {
        let endpoint = self.endpoints.get(instance);
        endpoint.is_some_and(|endpoint| self.limit_of(endpoint).is_some())
    }
}

/// Limits at one VM, for its metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitStatus {
    /// Endpoints with a limit.
    pub endpoints: usize,
    /// Shares of these limits that the VM holds.
    pub held_shares: usize,
}
