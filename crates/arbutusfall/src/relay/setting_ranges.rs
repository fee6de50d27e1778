//! Allowed ranges of the numeric settings of a relay process.

use std::fmt;

use crate::relay::settings::RelayProcessSettings;

/// Upper limit of times in seconds: a longer one is a mistake, and may not fit into a `Duration`.
const MAX_TIME_S: f64 = 86_400.0;

/// Upper limit of times in milliseconds.
const MAX_TIME_MS: f64 = MAX_TIME_S * 1_000.0;

/// Upper limit of shares.
const MAX_SHARE: f64 = 1.0;

/// Which numbers a setting may have.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Allowed {
    /// 0 or more.
    NotNegative,
    /// More than 0.
    Positive,
    /// More than 0, up to this limit.
    PositiveUpTo(f64),
}

impl Allowed {
    fn contains(self, value: f64) -> bool {
        match self {
            Self::NotNegative => value >= 0.0,
            Self::Positive => value > 0.0,
            Self::PositiveUpTo(most) => value > 0.0 && value <= most,
        }
    }
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotNegative => f.write_str("must be 0 or more"),
            Self::Positive => f.write_str("must be more than 0"),
            Self::PositiveUpTo(most) => write!(f, "must be more than 0 and at most {most}"),
        }
    }
}

/// A setting whose value is outside its range.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct RangeError {
    /// Name of the setting.
    pub(super) name: &'static str,
    value: f64,
    allowed: Allowed,
}

impl fmt::Display for RangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.value, self.allowed)
    }
}

/// Checks the numeric settings.
///
/// # Errors
///
/// [`RangeError`] of the first setting that is outside its range.
pub(super) fn check_ranges(settings: &RelayProcessSettings) -> Result<(), RangeError> {
    let checks = [
        (
            "retry_ratio",
            Some(settings.retry_ratio),
            Allowed::NotNegative,
        ),
        (
            "retry_slack",
            Some(settings.retry_slack),
            Allowed::NotNegative,
        ),
        (
            "vm_count",
            settings.vm_count.map(f64::from),
            Allowed::Positive,
        ),
        ("cpu_share", settings.cpu_share, Allowed::Positive),
        ("link_mbps", settings.link_mbps, Allowed::Positive),
        (
            "lease_lifetime_ms",
            Some(settings.lease_lifetime_ms as f64),
            Allowed::PositiveUpTo(MAX_TIME_MS),
        ),
        (
            "quota_window_s",
            Some(settings.quota_window_s),
            Allowed::PositiveUpTo(MAX_TIME_S),
        ),
        (
            "quota_excess_ratio",
            Some(settings.quota_excess_ratio),
            Allowed::PositiveUpTo(MAX_SHARE),
        ),
        (
            "quota_slack",
            Some(settings.quota_slack),
            Allowed::NotNegative,
        ),
        (
            "leaving_bound_ms",
            Some(settings.leaving_bound_ms as f64),
            Allowed::PositiveUpTo(MAX_TIME_MS),
        ),
        (
            "silence_bound_ms",
            Some(settings.silence_bound_ms as f64),
            Allowed::PositiveUpTo(MAX_TIME_MS),
        ),
    ];
    for (name, value, allowed) in checks {
        if let Some(value) = value
            && !allowed.contains(value)
        {
            return Err(RangeError {
                name,
                value,
                allowed,
            });
        }
    }
    Ok(())
}
