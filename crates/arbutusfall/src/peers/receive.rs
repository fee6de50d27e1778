//! Accepts connections from peers and reads their frames.

use std::sync::Arc;

use arbutusfall_core::Event;
use arbutusfall_wire::MAX_FRAME_BYTES;
use arbutusfall_wire::decode_frame;
use async_channel::Sender;
use quinn::Connection;
use quinn::Endpoint;
use quinn::Incoming;
use quinn::RecvStream;
use rustls_pki_types::CertificateDer;

use crate::Executor;
use crate::driver::Input;
use crate::telemetry::Telemetry;
use crate::tls::is_issued_to;

use super::ConnectionFailure;

/// Counter of frames that could not be read completely or decoded, or were too long.
const FRAMES_REJECTED: &str = "peers.frames_rejected";

/// Counter of frames whose sender is not the VM of the connection's certificate.
const FRAMES_FORGED: &str = "peers.frames_forged";

/// Counter of peer bytes received.
const BYTES_RECEIVED: &str = "peers.bytes_received";

/// Receiver of frames from peers, cloned for each connection and stream.
#[derive(Debug, Clone)]
pub(super) struct FrameReceiver {
    pub(super) executor: Arc<Executor>,
    pub(super) input_sender: Sender<Input>,
    pub(super) telemetry: Arc<Telemetry>,
}

impl FrameReceiver {
    /// Accepts connections until the endpoint is closed.
    pub(super) async fn accept_connections(self, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            let receive = self.clone().receive_frames(incoming);
            self.executor.spawn(receive).detach();
        }
    }

    async fn receive_frames(self, incoming: Incoming) {
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(error) => {
                let failure = ConnectionFailure::from(&error);
                self.telemetry.count(failure.counter(), 1);
                return;
            }
        };
        let Some(certificate) = peer_certificate(&connection) else {
            let failure = ConnectionFailure::MissingCertificate;
            self.telemetry.count(failure.counter(), 1);
            return;
        };
        let certificate = Arc::new(certificate);
        while let Ok(stream) = connection.accept_uni().await {
            let receive = self.clone().receive_frame(stream, certificate.clone());
            self.executor.spawn(receive).detach();
        }
    }

    async fn receive_frame(
        self,
        mut stream: RecvStream,
        certificate: Arc<CertificateDer<'static>>,
    ) {
        let Ok(bytes) = stream.read_to_end(MAX_FRAME_BYTES).await else {
            self.telemetry.count(FRAMES_REJECTED, 1);
            return;
        };
        self.telemetry.count(BYTES_RECEIVED, bytes.len() as i64);
        let Ok(frame) = decode_frame(&bytes) else {
            self.telemetry.count(FRAMES_REJECTED, 1);
            return;
        };
        if !is_issued_to(&certificate, &frame.sender.vm) {
            self.telemetry.count(FRAMES_FORGED, 1);
            return;
        }
        for message in frame.messages {
            let event = Event::Peer {
                from: frame.sender.clone(),
                message,
            };
            // The channel is closed only while the process exits.
            let _ = self.input_sender.try_send(Input::Event(event));
        }
    }
}

fn peer_certificate(connection: &Connection) -> Option<CertificateDer<'static>> {
    let identity = connection.peer_identity()?;
    let chain: Box<Vec<CertificateDer<'static>>> = identity.downcast().ok()?;
    chain.into_iter().next()
}
