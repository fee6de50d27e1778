//! Why a peer connection could not be opened or did not last.

use std::fmt;

use quinn::ConnectionError;

/// First QUIC error code that carries a TLS alert (RFC 9001, section 4.8).
const FIRST_ALERT_CODE: u64 = 0x100;

/// TLS alert of a certificate that is not valid any more.
const ALERT_CERTIFICATE_EXPIRED: u64 = 45;

/// TLS alert of a certificate that the authority did not sign.
const ALERT_UNKNOWN_CA: u64 = 48;

/// TLS alert of a signature that does not verify, as of an authority that only bears the right name.
const ALERT_DECRYPT_ERROR: u64 = 51;

/// TLS alert of a missing certificate.
const ALERT_CERTIFICATE_REQUIRED: u64 = 116;

/// A peer connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionFailure {
    /// A certificate is expired or not valid yet.
    ExpiredCertificate,
    /// A certificate was not signed by the deployment's authority.
    ForeignCertificate,
    /// No certificate was sent.
    MissingCertificate,
    /// A certificate or another part of the handshake is not acceptable.
    Handshake,
    /// Nothing was heard for too long.
    Timeout,
    /// The other side closed the connection, or the network did.
    Closed,
}

impl ConnectionFailure {
    /// Counter of these failures.
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
            Self::Timeout => "nothing was heard for too long",
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
