//! `arbutusfall keys`: creates a deployment's certificate authority and a certificate for each VM.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use error_stack::Report;
use error_stack::ResultExt;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;

use crate::TlsFiles;

const AUTHORITY_CERTIFICATE_FILE: &str = "authority.pem";

const AUTHORITY_KEY_FILE: &str = "authority-key.pem";

/// Time by which a certificate's start of validity precedes its creation, for VMs whose clock is behind.
const BACKDATING: Duration = Duration::from_secs(3_600);

/// Error while creating keys or certificates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeysError {
    /// A key or certificate could not be generated, or the authority's files could not be parsed.
    Generate,
    /// A file could not be read.
    Read(PathBuf),
    /// A file could not be written.
    Write(PathBuf),
}

impl fmt::Display for KeysError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Generate => f.write_str(
                "a key or certificate could not be generated, or the authority's files are invalid",
            ),
            Self::Read(file) => write!(f, "{}: cannot be read", file.display()),
            Self::Write(file) => write!(f, "{}: cannot be written", file.display()),
        }
    }
}

impl std::error::Error for KeysError {}

/// Creates a deployment's authority in a directory, unless its certificate and key exist already.
///
/// The certificate is valid for `validity` from now.
///
/// # Errors
///
/// Returns [`KeysError`] if the authority cannot be generated or written.
pub fn make_authority(dir: &Path, validity: Duration) -> Result<(), Report<KeysError>> {
    let file = dir.join(AUTHORITY_CERTIFICATE_FILE);
    if file.exists() && dir.join(AUTHORITY_KEY_FILE).exists() {
        return Ok(());
    }
    let mut params = CertificateParams::default();
    set_validity(&mut params, validity);
    params
        .distinguished_name
        .push(DnType::CommonName, "arbutusfall authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let key = KeyPair::generate().change_context(KeysError::Generate)?;
    let certificate = params
        .self_signed(&key)
        .change_context(KeysError::Generate)?;
    std::fs::create_dir_all(dir).change_context_lazy(|| KeysError::Write(dir.to_owned()))?;
    write_file(&file, &certificate.pem(), 0o644)?;
    write_file(&dir.join(AUTHORITY_KEY_FILE), &key.serialize_pem(), 0o600)
}

/// Creates a VM's key and certificate, signed by the authority in the same directory.
///
/// The certificate is valid for `validity` from now; existing files of the VM are overwritten.
///
/// # Errors
///
/// Returns [`KeysError`] if the authority cannot be read, or the certificate cannot be generated or written.
pub fn make_vm_certificate(
    dir: &Path,
    vm: &str,
    validity: Duration,
) -> Result<TlsFiles, Report<KeysError>> {
    let authority_file = dir.join(AUTHORITY_CERTIFICATE_FILE);
    let authority = read_file(&authority_file)?;
    let authority_key = read_file(&dir.join(AUTHORITY_KEY_FILE))?;
    let authority_key = KeyPair::from_pem(&authority_key).change_context(KeysError::Generate)?;
    let issuer =
        Issuer::from_ca_cert_pem(&authority, authority_key).change_context(KeysError::Generate)?;
    let mut params =
        CertificateParams::new(vec![vm.to_owned()]).change_context(KeysError::Generate)?;
    set_validity(&mut params, validity);
    params.distinguished_name.push(DnType::CommonName, vm);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate().change_context(KeysError::Generate)?;
    let certificate = params
        .signed_by(&key, &issuer)
        .change_context(KeysError::Generate)?;
    let files = TlsFiles {
        authority_file,
        certificate_file: dir.join(format!("{vm}.pem")),
        key_file: dir.join(format!("{vm}-key.pem")),
    };
    write_file(&files.certificate_file, &certificate.pem(), 0o644)?;
    write_file(&files.key_file, &key.serialize_pem(), 0o600)?;
    Ok(files)
}

fn set_validity(params: &mut CertificateParams, validity: Duration) {
    let now = SystemTime::now();
    params.not_before = (now - BACKDATING).into();
    params.not_after = (now + validity).into();
}

fn read_file(file: &Path) -> Result<String, Report<KeysError>> {
    std::fs::read_to_string(file).change_context_lazy(|| KeysError::Read(file.to_owned()))
}

fn write_file(file: &Path, content: &str, mode: u32) -> Result<(), Report<KeysError>> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;

    let failed = || KeysError::Write(file.to_owned());
    let mut options = std::fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(mode);
    let mut opened = options.open(file).change_context_lazy(failed)?;
    opened
        .write_all(content.as_bytes())
        .change_context_lazy(failed)
}
