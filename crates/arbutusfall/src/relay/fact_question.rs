//! Sends a question for facts of the store to another VM and reads its answer.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_platform::answer_status::FinalStatus;
use arbutusfall_wire::FactsAnswer;
use arbutusfall_wire::FactsQuestion;
use arbutusfall_wire::MAX_FACTS_BYTES;
use arbutusfall_wire::Name;
use arbutusfall_wire::decode_facts;
use arbutusfall_wire::encode_facts;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::header::HOST;

use crate::Executor;
use crate::http;
use crate::http::ClientError;
use crate::http::OutgoingRequest;
use crate::relay::peer_client;
use crate::relay::peer_client::FACTS_PATH;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A question for facts, and the VM to ask.
#[derive(Debug)]
pub(super) struct FactsRequest<'a> {
    pub(super) vm: &'a Name,
    pub(super) address: SocketAddr,
    pub(super) question: &'a FactsQuestion,
    /// Timeout for the whole answer, from the beginning of the connection.
    pub(super) answer_timeout: Duration,
}

/// Why a VM passed nothing on.
#[derive(Debug)]
pub(super) enum FactsError {
    /// It did not answer.
    Failed(ClientError),
    /// It answered without facts that this VM can use.
    Declined(&'static str),
}

impl fmt::Display for FactsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(error) => error.fmt(f),
            Self::Declined(reason) => f.write_str(reason),
        }
    }
}

impl FactsRequest<'_> {
    /// Sends the question and reads the answer.
    ///
    /// # Errors
    ///
    /// [`FactsError::Failed`] also for an answer with a status that is not final, see [`FinalStatus`].
    pub(super) async fn send(
        &self,
        executor: &Executor,
        key: RequestHashKey,
    ) -> Result<FactsAnswer, FactsError> {
        let started_at = Instant::now();
        let request = Request::builder()
            .method(Method::POST)
            .uri(FACTS_PATH)
            .header(HOST, self.address.to_string())
            .body(Full::new(encode_facts(self.question).into()));
        let request = request.map_err(|_| FactsError::Failed(ClientError::Malformed))?;
        let outgoing = OutgoingRequest {
            address: self.address,
            request,
            connect_timeout: CONNECT_TIMEOUT,
            answer_timeout: self.answer_timeout,
        };
        let sent = peer_client::send(executor, outgoing, key).await;
        let answer = sent.map_err(FactsError::Failed)?;
        FinalStatus::of(answer.status()).map_err(|_| FactsError::Failed(ClientError::Malformed))?;
        if !answer.status().is_success() {
            return Err(FactsError::Declined("it passes none on now"));
        }
        let time_left = self.answer_timeout.saturating_sub(started_at.elapsed());
        let body = http::read_control_body(answer.into_body(), time_left, MAX_FACTS_BYTES).await;
        let body = body.map_err(FactsError::Failed)?;
        decode_facts(&body).map_err(|error| {
            log::warn!("VM {} passed on what cannot be read: {error}", self.vm);
            FactsError::Declined("malformed answer")
        })
    }
}

#[cfg(test)]
mod tests {
    use async_io::block_on;
    use async_net::TcpListener;
    use futures_lite::AsyncReadExt;
    use futures_lite::AsyncWriteExt;
    use futures_lite::FutureExt;

    use super::*;
    use crate::relay::peer_handshake;

    const KEY: RequestHashKey = RequestHashKey(7);

    const TIMEOUT: Duration = Duration::from_secs(5);

    /// Accepts a connection as another VM does, and answers its question with this status line.
    async fn serve(
        listener: TcpListener,
        status: &str,
        answer: &FactsAnswer,
    ) -> std::io::Result<()> {
        let address = listener.local_addr()?;
        let (mut stream, _) = listener.accept().await?;
        assert!(peer_handshake::accept(&mut stream, address, KEY).await?);
        let mut buffer = [0; 4 * 1024];
        let length = stream.read(&mut buffer).await?;
        assert!(buffer[..length].starts_with(b"POST /facts"));
        let body = encode_facts(answer);
        let head = format!(
            "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await?;
        stream.close().await
    }

    /// Asks a VM that answers with this status line and a sound body.
    fn ask(status: &str) -> Result<FactsAnswer, FactsError> {
        let question = FactsQuestion {
            wait_ms: 0,
            positions: Vec::new(),
            newest: Vec::new(),
        };
        let executor = Executor::new();
        block_on(executor.run(async {
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            let listener = TcpListener::bind(any_port).await;
            let listener = listener.expect("loopback has free ports");
            let request = FactsRequest {
                vm: &"front-1".into(),
                address: listener.local_addr().expect("the listener is bound"),
                question: &question,
                answer_timeout: TIMEOUT,
            };
            let sound = sound_answer();
            let serve = async {
                let served = serve(listener, status, &sound).await;
                served.expect("the question is answered");
                std::future::pending().await
            };
            request.send(&executor, KEY).or(serve).await
        }))
    }

    fn sound_answer() -> FactsAnswer {
        FactsAnswer {
            waited_ms: 3,
            topics: Vec::new(),
            newest: Vec::new(),
        }
    }

    #[test]
    fn facts_of_a_successful_answer_are_returned() {
        let answer = ask("200 OK").expect("the answer is sound");
        assert_eq!(answer, sound_answer());
    }

    // Guards against facts, or a refusal, that a VM takes from an answer whose status has no meaning.
    #[test]
    fn answer_with_an_undefined_or_interim_status_counts_as_none() {
        for status in [
            "600 Beyond",
            "999 Far Beyond",
            "101 Switching Protocols",
            "099 Below",
            "1000 Long",
        ] {
            let error = ask(status).expect_err("nothing may be taken from it");
            assert!(matches!(error, FactsError::Failed(_)), "{status}: {error}");
        }
    }

    // Guards against a VM that counts as silent although it has declined.
    #[test]
    fn answer_with_a_defined_status_other_than_success_declines() {
        for status in ["503 Service Unavailable", "404 Not Found", "599 Last"] {
            let error = ask(status).expect_err("it has no facts");
            assert!(
                matches!(error, FactsError::Declined(_)),
                "{status}: {error}"
            );
        }
    }
}
