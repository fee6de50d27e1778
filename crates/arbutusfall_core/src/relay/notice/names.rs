//! Names of log lines, and which of them are dropped first.

use crate::relay::RelayNotice;

impl RelayNotice {
    /// Returns whether the line is among the first to be dropped when too many are written.
    pub fn is_routine(&self) -> bool {
        matches!(
            self,
            Self::Sent { .. }
                | Self::Resuming { .. }
                | Self::GoesOn { .. }
                | Self::VersionUnknown { .. }
                | Self::Waiting { .. }
                | Self::Declined { .. }
                | Self::Taken { .. }
                | Self::StreamEnded { .. }
                | Self::EndChecked { .. }
                | Self::Answered { .. }
                | Self::CallerGone { .. }
        )
    }

    /// Returns the value of the line's `event` field.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Started { .. } => "started",
            Self::Stopped => "stopped",
            Self::SettingsChanged => "settings_changed",
            Self::ConfigInForce { .. } => "config_in_force",
            Self::ConfigIgnored { .. } => "config_ignored",
            Self::EndpointListed { .. } => "endpoint_listed",
            Self::EndpointGone { .. } => "endpoint_gone",
            Self::EndpointAvoided { .. } => "endpoint_avoided",
            Self::EndpointLeaving { .. } => "endpoint_leaving",
            Self::EndpointResting { .. } => "endpoint_resting",
            Self::ServiceUnreachable { .. } => "service_unreachable",
            Self::ServiceReachable { .. } => "service_reachable",
            Self::EndpointLimited { .. } => "endpoint_limited",
            Self::EndpointUnlimited { .. } => "endpoint_unlimited",
            Self::ServiceLimited { .. } => "service_limited",
            Self::ServiceUnlimited { .. } => "service_unlimited",
            Self::SlowStartEnded { .. } => "slow_start_ended",
            Self::EngineRefusing { .. } => "engine_refusing",
            Self::RunChecked { .. } => "run_checked",
            Self::Store { .. } => "store",
            Self::StoreReturned { .. } => "store_returned",
            Self::PartBlocked { .. } => "part_blocked",
            Self::PartUnblocked { .. } => "part_unblocked",
            Self::CrashEvidence { .. } => "crash_evidence",
            Self::CrashEvidenceRemoved { .. } => "crash_evidence_removed",
            Self::RequestBlocked { .. } => "request_blocked",
            Self::RequestUnblocked { .. } => "request_unblocked",
            Self::Resuming { .. } => "resuming",
            Self::GoesOn { .. } => "goes_on",
            Self::VersionUnknown { .. } => "version_unknown",
            Self::Sent { .. } => "sent",
            Self::Declined { .. } => "declined",
            Self::Taken { .. } => "taken",
            Self::Waiting { .. } => "waiting",
            Self::StreamEnded { .. } => "stream_ended",
            Self::EndChecked { .. } => "end_checked",
            Self::ExchangeSilent { .. } => "exchange_silent",
            Self::MoveAbandoned { .. } => "move_abandoned",
            Self::ExchangeFailed { .. } => "exchange_failed",
            Self::Answered { .. } => "answered",
            Self::GivenUp { .. } => "given_up",
            Self::AnswerMissing { .. } => "answer_missing",
            Self::AnswerUnread { .. } => "answer_unread",
            Self::AnswerReadSlowly { .. } => "answer_read_slowly",
            Self::CallerGone { .. } => "caller_gone",
            Self::FactSource { .. } => "fact_source",
            Self::QuotaOwner { .. } => "quota_owner",
            Self::Lease { .. } => "lease",
            Self::RoleOrdered { .. } => "role_ordered",
            Self::RoleOutcome { .. } => "role_outcome",
            Self::Ready { .. } => "ready",
            Self::Draining { .. } => "draining",
        }
    }
}
