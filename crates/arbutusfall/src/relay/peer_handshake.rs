//! Handshake of a connection between two VMs, before any request: each proves that it holds the key that VMs share through the
//! store.
//!
//! The VM that connects sends a nonce; the other answers with a nonce of its own and a proof over both and the address that
//! it listens at; the first sends its proof. So a process that took over the address of a VM gets no request, and one that
//! passes the bytes on to a VM at another address gets none either.

use std::net::SocketAddr;

use arbutusfall_core::relay::RequestHashKey;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWrite;
use futures_lite::AsyncWriteExt;
use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use uuid::Uuid;

/// First bytes of every connection; they end like a request line, so that an HTTP server refuses them at once.
const GREETING: &[u8; 18] = b"arbutusfall-vm/1\r\n";

/// Purpose of the key that is derived from the shared one.
const KEY_PURPOSE: &[u8] = b"connections between VMs";

const NONCE_BYTES: usize = 16;

const PROOF_BYTES: usize = 32;

type Nonce = [u8; NONCE_BYTES];

/// Side of a connection that makes a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Connecting,
    Accepting,
}

/// What both sides of a connection prove that they know.
struct Transcript {
    key: RequestHashKey,
    /// Address of the VM that accepts the connection.
    address: SocketAddr,
    connecting: Nonce,
    accepting: Nonce,
}

impl Transcript {
    fn mac(&self, side: Side) -> Hmac<Sha256> {
        let mut derived = new_mac(&self.key.0.to_be_bytes());
        derived.update(KEY_PURPOSE);
        let mut mac = new_mac(&derived.finalize().into_bytes());
        mac.update(&[u8::from(side == Side::Accepting)]);
        mac.update(&self.connecting);
        mac.update(&self.accepting);
        mac.update(self.address.to_string().as_bytes());
        mac
    }

    fn proof(&self, side: Side) -> [u8; PROOF_BYTES] {
        self.mac(side).finalize().into_bytes().into()
    }

    fn is_proof(&self, side: Side, proof: &[u8]) -> bool {
        self.mac(side).verify_slice(proof).is_ok()
    }
}

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    // Never fails: a key may have any length.
    Hmac::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"))
}

fn new_nonce() -> Nonce {
    Uuid::new_v4().into_bytes()
}

/// Performs the handshake of the VM that connects; returns whether the other one has proved that it is a VM.
pub(super) async fn connect(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    address: SocketAddr,
    key: RequestHashKey,
) -> std::io::Result<bool> {
    let connecting = new_nonce();
    let first = [&GREETING[..], &connecting].concat();
    stream.write_all(&first).await?;
    let mut accepting = [0; NONCE_BYTES];
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut accepting).await?;
    stream.read_exact(&mut proof).await?;
    let transcript = Transcript {
        key,
        address,
        connecting,
        accepting,
    };
    if !transcript.is_proof(Side::Accepting, &proof) {
        return Ok(false);
    }
    stream
        .write_all(&transcript.proof(Side::Connecting))
        .await?;
    Ok(true)
}

/// Performs the handshake of the VM that listens at `address`; returns whether the other one has proved that it is a VM.
pub(super) async fn accept(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    address: SocketAddr,
    key: RequestHashKey,
) -> std::io::Result<bool> {
    let mut greeting = [0; GREETING.len()];
    let mut connecting = [0; NONCE_BYTES];
    stream.read_exact(&mut greeting).await?;
    if greeting != *GREETING {
        return Ok(false);
    }
    stream.read_exact(&mut connecting).await?;
    let transcript = Transcript {
        key,
        address,
        connecting,
        accepting: new_nonce(),
    };
    let proof = transcript.proof(Side::Accepting);
    let answer = [&transcript.accepting[..], &proof].concat();
    stream.write_all(&answer).await?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    Ok(transcript.is_proof(Side::Connecting, &proof))
}
