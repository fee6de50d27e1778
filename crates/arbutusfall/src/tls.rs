//! Mutual TLS between peers, with certificates signed by the deployment's own authority.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use arbutusfall_wire::Name;
use error_stack::Report;
use error_stack::ResultExt;
use quinn::ClientConfig;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::server::ParsedCertificate;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::ServerName;
use rustls_pki_types::UnixTime;
use rustls_pki_types::pem::PemObject;

use crate::TlsFiles;

/// ALPN protocol of peer connections.
const ALPN: &[u8] = b"arbutusfall/1";

/// Time without packets after which a peer connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Interval of keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Error while setting up TLS for peer connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TlsError {
    /// A file could not be read, or contains no usable certificate or key.
    ReadPem(PathBuf),
    /// TLS cannot be configured with this certificate and key.
    Setup,
    /// The certificate is not currently valid, or is not signed by the authority, so peers would reject it.
    InvalidCertificate(PathBuf),
    /// The certificate was issued to another VM.
    WrongVm {
        /// Certificate file.
        file: PathBuf,
        /// Name of the VM in the settings.
        vm: Name,
    },
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ReadPem(file) => {
                write!(f, "{}: cannot read a certificate or key", file.display())
            }
            Self::Setup => f.write_str("certificate and key are not usable together"),
            Self::InvalidCertificate(file) => {
                write!(f, "{}: peers would not accept it", file.display())
            }
            Self::WrongVm { file, vm } => {
                write!(f, "{}: was not issued to the VM {vm}", file.display())
            }
        }
    }
}

impl std::error::Error for TlsError {}

/// TLS configurations for outgoing and incoming peer connections.
#[derive(Debug)]
pub(crate) struct PeerTls {
    pub(crate) client: ClientConfig,
    pub(crate) server: ServerConfig,
}

impl PeerTls {
    /// Reads a VM's key and certificates, and verifies its certificate as peers do.
    pub(crate) fn load(files: &TlsFiles, vm: &Name) -> Result<Self, Report<TlsError>> {
        let authority = read_certificates(&files.authority_file)?;
        let mut roots = RootCertStore::empty();
        for certificate in authority {
            let failed = || TlsError::ReadPem(files.authority_file.clone());
            roots.add(certificate).change_context_lazy(failed)?;
        }
        let roots = Arc::new(roots);
        let chain = read_certificates(&files.certificate_file)?;
        let key = PrivateKeyDer::from_pem_file(&files.key_file)
            .change_context_lazy(|| TlsError::ReadPem(files.key_file.clone()))?;
        check_own_certificate(&roots, &chain, files, vm)?;
        let transport = Arc::new(transport_config());
        let client = client_config(roots.clone(), chain.clone(), key.clone_key(), &transport)?;
        let server = server_config(roots, chain, key, &transport)?;
        Ok(Self { client, server })
    }
}

/// Verifies this VM's own certificate, so that a mistake is reported at start and not at each connection.
fn check_own_certificate(
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    files: &TlsFiles,
    vm: &Name,
) -> Result<(), Report<TlsError>> {
    let file = &files.certificate_file;
    let (own_certificate, intermediates) = chain
        .split_first()
        .ok_or_else(|| Report::new(TlsError::ReadPem(file.clone())))?;
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider());
    let verifier = verifier.build().change_context(TlsError::Setup)?;
    verifier
        .verify_client_cert(own_certificate, intermediates, UnixTime::now())
        .change_context_lazy(|| TlsError::InvalidCertificate(file.clone()))?;
    if is_issued_to(own_certificate, vm) {
        return Ok(());
    }
    Err(Report::new(TlsError::WrongVm {
        file: file.clone(),
        vm: vm.clone(),
    }))
}

/// Returns whether a certificate was issued to the VM with this name.
pub(crate) fn is_issued_to(certificate: &CertificateDer<'_>, vm: &str) -> bool {
    let Ok(name) = ServerName::try_from(vm) else {
        return false;
    };
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else {
        return false;
    };
    rustls::client::verify_server_name(&parsed, &name).is_ok()
}

fn read_certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, Report<TlsError>> {
    let failed = || TlsError::ReadPem(file.to_owned());
    let certificates = CertificateDer::pem_file_iter(file).change_context_lazy(failed)?;
    certificates
        .collect::<Result<Vec<_>, _>>()
        .change_context_lazy(failed)
}

fn client_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    transport: &Arc<TransportConfig>,
) -> Result<ClientConfig, Report<TlsError>> {
    let mut config = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(TlsError::Setup)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .change_context(TlsError::Setup)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    let config = QuicClientConfig::try_from(config).change_context(TlsError::Setup)?;
    let mut config = ClientConfig::new(Arc::new(config));
    config.transport_config(transport.clone());
    Ok(config)
}

fn server_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    transport: &Arc<TransportConfig>,
) -> Result<ServerConfig, Report<TlsError>> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider());
    let verifier = verifier.build().change_context(TlsError::Setup)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(TlsError::Setup)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .change_context(TlsError::Setup)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    let config = QuicServerConfig::try_from(config).change_context(TlsError::Setup)?;
    let mut config = ServerConfig::with_crypto(Arc::new(config));
    config.transport_config(transport.clone());
    Ok(config)
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport
}
