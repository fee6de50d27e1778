//! Questions to engines when their processes started, and streams that go on only at engines whose process is known to be the listed one.

use std::time::Duration;

use arbutusfall_wire::Name;

use crate::CallId;
use crate::config::Role;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayTimer;
use crate::relay::RunAnswer;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;
use crate::relay::calls::call::CurrentExchange;
use crate::relay::endpoints::endpoint::Endpoint;

impl Relay {
    /// Records that a connection to an engine broke off or was not accepted: its process may have ended.
    pub(in crate::relay) fn on_engine_broken_off(&mut self, instance: &Name) {
        let now = self.now;
        if let Some(endpoint) = self.endpoints.known_mut(instance)
            && endpoint.listed.role != Role::Plain
        {
            endpoint.run.on_broken_off(now);
        }
    }

    /// Records that the connection of an exchange broke off or was not accepted, unless another process is listed by now.
    pub(in crate::relay) fn on_exchange_broken_off(&mut self, broken: &CurrentExchange) {
        let (instance, started_unix_ms) = (&broken.instance, broken.started_unix_ms);
        if self.endpoints.may_be_listed_run(instance, started_unix_ms) {
            self.on_engine_broken_off(instance);
        }
    }

    /// Asks an engine when its process started, if that is in doubt and it was not asked just now.
    pub(in crate::relay) fn check_run(&mut self, instance: &Name) {
        let now = self.now;
        let endpoint = self.endpoints.get(instance);
        if endpoint.is_some_and(|endpoint| endpoint.run.must_check(now)) {
            self.ask_run(instance);
        }
    }

    /// Asks an engine at which streams have begun when its process started, now or as soon as it may be asked again.
    pub(in crate::relay) fn prove_run(&mut self, instance: &Name) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.known_mut(instance) else {
            return;
        };
        let Some(due) = endpoint.run.next_proof_at() else {
            return;
        };
        if due <= now {
            self.ask_run(instance);
        } else if endpoint.run.set_timer(due, now) {
            self.timers.set(due, RelayTimer::ProveRun(instance.clone()));
        }
    }

    /// Asks the engine that has reserved memory for a stream that goes on, so that its prompt is not prefilled for an engine that may not
    /// get it.
    pub(in crate::relay) fn check_run_for(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id).filter(|call| call.is_bound()) else {
            return;
        };
        let current = call.current.as_ref();
        let endpoint = current.and_then(|current| self.endpoints.get(&current.instance));
        let Some(endpoint) = endpoint.filter(|endpoint| endpoint.run.can_be_proved()) else {
            return;
        };
        let due = endpoint.run.next_proof_at();
        if due.is_some_and(|due| due <= self.now) {
            let instance = endpoint.listed.instance.clone();
            self.ask_run(&instance);
        }
    }

    fn ask_run(&mut self, instance: &Name) {
        let now = self.now;
        let endpoint = self.endpoints.known_mut(instance);
        let Some(endpoint) = endpoint.filter(|endpoint| !endpoint.is_resting()) else {
            return;
        };
        endpoint.run.on_asked(now);
        let address = endpoint.listed.address;
        self.take_limit_tokens(instance, 1.0);
        self.effects.push(RelayEffect::CheckRun {
            instance: instance.clone(),
            address,
        });
    }

    /// Returns whether a stream that goes on must wait because the process that began it is not known yet.
    pub(in crate::relay) fn waits_for_proof(&self, id: CallId) -> bool {
        let call = self.calls.get(&id).filter(|call| call.is_bound());
        call.is_some_and(|call| {
            let attempt = call.stream_attempt();
            self.unproved_streams.instance_of(attempt).is_some()
        })
    }

    /// Returns whether a stream that goes on must wait because the processes of all engines of its version are in doubt; if so,
    /// they are asked.
    pub(in crate::relay) fn waits_for_run_checks(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id).filter(|call| call.is_bound()) else {
            return false;
        };
        let engines: Vec<&Endpoint> = self.endpoints.serving_call(call, Role::Decode).collect();
        if engines.is_empty() || engines.iter().any(|engine| engine.run.is_listed()) {
            return false;
        }
        let instances = engines.iter().map(|engine| engine.listed.instance.clone());
        let instances: Vec<Name> = instances.collect();
        for instance in instances {
            self.check_run(&instance);
        }
        true
    }

    /// Handles the answer of an engine that was asked when its process started.
    pub(in crate::relay) fn on_run_checked(
        &mut self,
        instance: &Name,
        asked_at: Duration,
        answer: RunAnswer,
    ) {
        let now = self.now;
        if let Some(endpoint) = self.endpoints.known_mut(instance) {
            let was_listed = endpoint.run.is_listed();
            endpoint.run.on_checked(asked_at, answer, now);
            let is_listed = endpoint.run.is_listed();
            if !(was_listed && is_listed) {
                self.note(RelayNotice::RunChecked {
                    instance: instance.clone(),
                    answer,
                    is_listed,
                });
            }
            if is_listed && !was_listed {
                self.go_on_with_waiting();
            }
        }
        self.judge_streams(instance);
        self.on_process_sign(instance, answer.into(), asked_at);
    }

    /// Takes a read of the list into account: engines in doubt that have been seen to run since are no longer.
    pub(in crate::relay) fn on_list_read(&mut self) {
        let now = self.now;
        let mut is_any_known = false;
        for endpoint in self.endpoints.in_doubt_mut() {
            endpoint.run.on_list_read(now);
            is_any_known |= endpoint.run.is_listed();
        }
        if is_any_known {
            self.go_on_with_waiting();
        }
    }
}

impl Call {
    /// Returns whether the request must be answered by a given software version.
    pub(crate) fn is_bound(&self) -> bool {
        self.version_for(self.serving_role()).is_some()
    }

    /// Returns the id under which the origin of the call's stream is kept.
    pub(crate) fn stream_attempt(&self) -> &Name {
        &self.request.request_id
    }

    /// Returns the start of the process that alone may take the call's request in this stage; none if any may. It matters where the
    /// version of what is answered does at once: for a stream that goes on, and for one that another VM forwards.
    pub(crate) fn required_run(&self, stage: CallStage, endpoint: &Endpoint) -> Option<u64> {
        let is_run = matches!(stage, CallStage::Decode { .. });
        let is_resumable = self.route.is_stream && self.route.is_resumable;
        let must_be_known = self.is_bound() || (is_resumable && self.request.hop.is_some());
        let can_be_proved = endpoint.run.can_be_proved();
        let started_unix_ms = endpoint.listed.started_unix_ms;
        started_unix_ms.filter(|_| is_run && must_be_known && can_be_proved)
    }
}
