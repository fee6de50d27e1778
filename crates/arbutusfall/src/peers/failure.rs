//! Failures of peer connections, as classified for counters.

use std::fmt;

use quinn::ConnectionError;

/// First QUIC error code that carries a TLS alert (RFC 9001, section 4.8).
const FIRST_ALERT_CODE: u64 = 0x100;

/// TLS alert `certificate_expired`: the certificate is expired or not valid yet.
const ALERT_CERTIFICATE_EXPIRED: u64 = 45;

/// TLS alert `unknown_ca`: the certificate is not signed by the authority.
const ALERT_UNKNOWN_CA: u64 = 48;

/// TLS alert `decrypt_error`: a signature does not verify, as with another authority of the same name.
const ALERT_DECRYPT_ERROR: u64 = 51;

/// TLS alert `certificate_required`: no certificate was sent.
const ALERT_CERTIFICATE_REQUIRED: u64 = 116;

/// Reason why a peer connection could not be opened or was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionFailure {
    /// A certificate is expired or not valid yet.
    ExpiredCertificate,
    /// A certificate was not signed by the deployment's authority.
    ForeignCertificate,
    /// No certificate was sent.
    MissingCertificate,
    /// The handshake failed for another reason.
    Handshake,
    /// The other side did not answer in time.
    Timeout,
    /// The connection was closed, or failed for a reason that has no variant.
    Closed,
}

impl ConnectionFailure {
    /// Returns the name of the counter for this failure.
    pub(crate) fn counter(self) -> &'static str {
        match self {
            Self::ExpiredCertificate => "peers.connections_failed.expired_certificate",
            Self::ForeignCertificate => "peers.connections_failed.foreign_certificate",
            Self::MissingCertificate => "peers.connections_failed.missing_certificate",
            Self::Handshake => "peers.connections_failed.handshake",
            Self::Timeout => "peers.connections_failed.timeout",
            Self::Closed => "peers.connections_failed.closed",
        }
    }
}

impl fmt::Display for ConnectionFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ExpiredCertificate => "a certificate is expired or not valid yet",
            Self::ForeignCertificate => "a certificate is not signed by the authority",
            Self::MissingCertificate => "no certificate was sent",
            Self::Handshake => "the handshake failed",
            Self::Timeout => "the connection timed out",
            Self::Closed => "the connection was closed",
        })
    }
}

impl std::error::Error for ConnectionFailure {}

impl From<&ConnectionError> for ConnectionFailure {
    fn from(error: &ConnectionError) -> Self {
        let code = match error {
            ConnectionError::TransportError(error) => error.code,
            ConnectionError::ConnectionClosed(close) => close.error_code,
            ConnectionError::TimedOut => return Self::Timeout,
            _ => return Self::Closed,
        };
        match u64::from(code).checked_sub(FIRST_ALERT_CODE) {
            Some(ALERT_CERTIFICATE_EXPIRED) => Self::ExpiredCertificate,
            Some(ALERT_UNKNOWN_CA | ALERT_DECRYPT_ERROR) => Self::ForeignCertificate,
            Some(ALERT_CERTIFICATE_REQUIRED) => Self::MissingCertificate,
            Some(0..=0xff) => Self::Handshake,
            _ => Self::Closed,
        }
    }
}
