//! Which account a request is served for, by its API key.

use std::sync::Arc;

use crate::CallId;
use crate::Problem;
use crate::ProblemKind;
use crate::relay::ClientAccount;
use crate::relay::Credential;
use crate::relay::Relay;
use crate::relay::RelayEffect;
use crate::relay::RelayNotice;
use crate::relay::RelayRequest;
use crate::relay::RelayRoute;
use crate::relay::RouteTable;
use crate::relay::SentAccount;
use crate::relay::calls::call::Call;
use crate::relay::calls::call::CallStage;

/// Reason of the refusal of a request without an API key.
const KEY_MISSING: &str = "key_missing";

/// Reason of the refusal of a request whose key no account has.
const KEY_UNKNOWN: &str = "key_unknown";

/// Reason of the refusal of a waiting request whose key no account has any more.
pub(in crate::relay) const KEY_REVOKED: &str = "key_revoked";

/// Priority of requests for which none is configured: the least urgent.
const DEFAULT_PRIORITY: u8 = 9;

/// For whom a request is served.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServedFor {
    /// Account; none on anonymous routes, or if the configuration has no accounts.
    pub(crate) account: Option<Arc<ClientAccount>>,
    /// What is sent to endpoints of the account.
    pub(crate) sent: SentAccount,
}

impl RouteTable {
    /// Returns for whom a request is served.
    ///
    /// # Errors
    ///
    /// The reason of its refusal.
    pub(in crate::relay) fn authenticate(
        &self,
        request: &RelayRequest,
        route: &RelayRoute,
    ) -> Result<ServedFor, &'static str> {
        let stated = request.hop.as_ref().map(|hop| &hop.account);
        // The VM that received the request from its caller has checked the key, unless its configuration has no accounts or it
        // is of an older build.
        if let Some(sent) = stated.filter(|stated| **stated != SentAccount::Unchanged) {
            return Ok(self.stated_by_vm(sent));
        }
        let Some(accounts) = &self.accounts else {
            return Ok(ServedFor {
                account: None,
                sent: SentAccount::Unchanged,
            });
        };
        if route.allows_anonymous {
            return Ok(ServedFor {
                account: None,
                sent: SentAccount::Removed,
            });
        }
        let Credential::Key(key) = &request.credential else {
            return Err(KEY_MISSING);
        };
        let account = accounts.find(key).ok_or(KEY_UNKNOWN)?;
        Ok(ServedFor {
            account: Some(account.clone()),
            sent: SentAccount::Named(account.name.clone()),
        })
    }

    /// Returns whether another VM has authenticated a request as an account that has no keys in this version of the
    /// configuration. Only the account is known here, so the loss of one of several keys goes unnoticed.
    fn has_lost_keys(&self, request: &RelayRequest, sent: &SentAccount) -> bool {
        let (Some(accounts), SentAccount::Named(name)) = (&self.accounts, sent) else {
            return false;
        };
        request.hop.is_some() && !accounts.has_keys(name)
    }

    fn stated_by_vm(&self, sent: &SentAccount) -> ServedFor {
        let account = match (sent, &self.accounts) {
            (SentAccount::Named(name), Some(accounts)) => accounts.get(name).cloned(),
            _ => None,
        };
        ServedFor {
            account,
            sent: sent.clone(),
        }
    }
}

impl Relay {
    /// Refuses a request that no account is known to send.
    pub(in crate::relay) fn refuse_unauthorized(
        &mut self,
        request: &RelayRequest,
        reason: &'static str,
    ) {
        let problem = Problem::new(ProblemKind::Unauthorized);
        self.note(RelayNotice::GivenUp {
            request_id: request.request_id.clone(),
            route: None,
            is_added_route: false,
            config_version: self.config_version(),
            status: Some(problem.kind.status()),
            reason,
            retry_after_ms: None,
            after_ms: 0,
            late_ms: 0,
        });
        self.effects.push(RelayEffect::AnswerProblem {
            call: request.call,
            problem,
        });
    }

    /// Authenticates once more all requests of which nothing has been sent, by a configuration that has just been put in force, and
    /// refuses those whose keys it does not have.
    pub(in crate::relay) fn review_waiting_accounts(&mut self, routes: &RouteTable) {
        let unsent = self.calls.iter().filter(|(_, call)| call.is_unsent());
        let mut unsent: Vec<CallId> = unsent.map(|(id, _)| *id).collect();
        unsent.sort_unstable();
        for id in unsent {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            let request = &call.request;
            let route = routes.find(&request.host, &request.path);
            // A request whose route was removed keeps the route that it had.
            let route = route.unwrap_or(&call.route);
            match routes.authenticate(request, route) {
                Ok(served_for) if routes.has_lost_keys(request, &served_for.sent) => {
                    self.fail_call(id, KEY_REVOKED);
                }
                Ok(served_for) => {
                    call.account = served_for.account;
                    call.sent_account = served_for.sent;
                }
                Err(_) => self.fail_call(id, KEY_REVOKED),
            }
        }
    }
}

impl Call {
    /// Returns the priority of the request, 0 first.
    pub(in crate::relay) fn priority(&self) -> u8 {
        if self.sent_account == SentAccount::Unchanged {
            // Without accounts, requests are served in the order in which they came.
            return DEFAULT_PRIORITY;
        }
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        of_account
            .or(self.route.priority)
            .unwrap_or(DEFAULT_PRIORITY)
    }

    /// Returns whether no endpoint has the request. The router's own requests to reserve memory do not count.
    fn is_unsent(&self) -> bool {
        let mut exchanges = self.current.iter();
        let is_at_endpoint = exchanges.any(|current| current.stage != CallStage::Reserve);
        !is_at_endpoint
            && self.standby.is_none()
            && !self.may_have_run
            && !self.has_stream_started
            && self.attempts == 0
            && self.prefills == 0
    }
}
