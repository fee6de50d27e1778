//! Passes events to the reducer and performs its effects.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutusfall_core::Effect;
use arbutusfall_core::Event;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::Node;
use arbutusfall_core::Status;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::FutureExt;

use crate::Clock;
use crate::Executor;
use crate::LogClient;
use crate::Settings;
use crate::SystemClock;
use crate::call_table::AnswerPart;
use crate::call_table::CallTable;
use crate::callers::CallerServer;
use crate::engines::Engines;
use crate::engines::child_span;
use crate::http::ListenerHandle;
use crate::peers::Peers;
use crate::services::Services;
use crate::telemetry::Telemetry;
use crate::vm_list;

/// Longest wait at exit for callers to read the rest of their answers.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// Input of the driver.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the reducer.
    Event(Event),
    /// An operator's request for the status, with the channel for the answer.
    Status(Sender<Status>),
    /// All answers are written, or [`FLUSH_TIMEOUT`] has passed.
    Flushed,
}

/// Owns the reducer and runs it on inputs from a channel.
pub(crate) struct Driver {
    pub(crate) node: Node,
    pub(crate) clock: SystemClock,
    pub(crate) settings: Settings,
    pub(crate) executor: Arc<Executor>,
    pub(crate) input_receiver: Receiver<Input>,
    /// Listener for callers; taken when it is closed at exit.
    pub(crate) caller_listener: Option<ListenerHandle>,
    pub(crate) input_sender: Sender<Input>,
    pub(crate) calls: Arc<CallTable>,
    pub(crate) callers: Arc<CallerServer>,
    pub(crate) engines: Arc<Engines>,
    pub(crate) services: Arc<Services>,
    pub(crate) peers: Peers,
    pub(crate) log_service: LogClient,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) telemetry: Arc<Telemetry>,
}

impl Driver {
    /// Runs until the reducer requests the exit and all answers are flushed.
    pub(crate) async fn run(mut self) {
        let mut input = Some(Input::Event(Event::Started));
        loop {
            let wake_at = match input {
                Some(Input::Event(event)) => {
                    let output = self.node.apply(event, self.clock.now());
                    for effect in output.effects {
                        self.perform(effect);
                    }
                    output.wake_at
                }
                Some(Input::Status(answer)) => {
                    // The send fails if the operator disconnected.
                    let _ = answer.try_send(self.node.status());
                    // The last `wake_at` is not stored, so an immediate tick makes the reducer return it again.
                    Some(self.clock.now().monotonic)
                }
                Some(Input::Flushed) | None => {
                    self.peers.close();
                    return;
                }
            };
            input = self.next_input(wake_at).await;
        }
    }

    /// Returns the next input, or a tick if `wake_at` is reached first.
    async fn next_input(&self, wake_at: Option<Duration>) -> Option<Input> {
        let receive = async { self.input_receiver.recv().await.ok() };
        let tick = async {
            self.clock.wait_until(wake_at).await;
            Some(Input::Event(Event::Tick))
        };
        // A due tick is polled first, so that a flood of events cannot delay timers.
        tick.or(receive).await
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::AnswerProblem { call, problem } => {
                self.calls.send_last(call, AnswerPart::Problem(problem))
            }
            Effect::Answer { call, answer } => {
                self.calls.send_last(call, AnswerPart::Answer(answer))
            }
            Effect::Deliver { call, texts } => self.calls.deliver(call, texts),
            Effect::Finish {
                call,
                generated_tokens,
            } => {
                self.calls
                    .send_last(call, AnswerPart::Finished { generated_tokens });
            }
            Effect::Abort { call, problem } => {
                self.calls.send_last(call, AnswerPart::Problem(problem))
            }
            Effect::Send { to, message } => self.peers.send(&to, message),
            Effect::SetPeers(peers) => self.peers.set_addresses(peers),
            Effect::Prefill(command) => self.engines.prefill(command),
            Effect::Decode(command) => self.engines.decode(command),
            Effect::Reconnect {
                attempt,
                address,
                from_index,
                ..
            } => {
                self.engines.reconnect(attempt, address, from_index);
            }
            Effect::Cancel { attempt, address } => self.engines.cancel(attempt, address),
            Effect::ListAttempts { endpoint, address } => {
                self.engines.list_attempts(endpoint, address)
            }
            Effect::ReadLoad { endpoint, address } => self.engines.read_load(endpoint, address),
            Effect::ReadCache {
                endpoint,
                address,
                from,
            } => self.engines.read_cache(endpoint, address, from),
            Effect::CallService(command) => self.services.call(command),
            Effect::Append {
                stream,
                append,
                era,
                records,
            } => self.append_to_log(stream, append, era, records),
            Effect::ReadLog { stream, from, wait } => self.read_log(stream, from, wait),
            Effect::FetchVmList => self.fetch_vm_list(),
            Effect::Count(counter) => self.telemetry.count(counter.name(), 1),
            Effect::Note(notice) => log::info!("{notice}"),
            Effect::Trace { step, traceparent } => {
                // Records a span of zero duration.
                drop(child_span(step.name(), Some(&traceparent)));
            }
            Effect::ConfigInForce { .. } => {
                if let Some(site) = self.node.site_config() {
                    self.callers.set_config(site.clone());
                }
            }
            Effect::SetReady(ready) => self.ready.store(ready, Ordering::Relaxed),
            Effect::Exit => self.flush(),
        }
    }

    /// Starts to write the last answers before the process exits; new requests are refused during this time.
    fn flush(&mut self) {
        let Some(caller_listener) = self.caller_listener.take() else {
            return;
        };
        let input_sender = self.input_sender.clone();
        let flush = async move {
            caller_listener.close(FLUSH_TIMEOUT).await;
            // The channel is closed only while the process exits.
            let _ = input_sender.try_send(Input::Flushed);
        };
        self.executor.spawn(flush).detach();
    }

    fn stream_name(&self, stream: LogStream) -> String {
        match stream {
            LogStream::Config => "config".to_owned(),
            LogStream::Claims(partition) => format!("claims-{}-{partition}", self.settings.site),
        }
    }

    /// Spawns a task that runs `event` and passes the resulting event to the reducer.
    fn spawn_and_submit(&self, event: impl Future<Output = Event> + Send + 'static) {
        let input_sender = self.input_sender.clone();
        let submit = async move {
            // The channel is closed only while the process exits.
            let _ = input_sender.try_send(Input::Event(event.await));
        };
        self.executor.spawn(submit).detach();
    }

    fn append_to_log(&self, stream: LogStream, append: u64, era: u64, records: Vec<Name>) {
        let log_service = self.log_service;
        let executor = self.executor.clone();
        let name = self.stream_name(stream);
        self.spawn_and_submit(async move {
            let result = log_service.append(&executor, &name, era, &records).await;
            Event::Log(match result {
                Ok(_) => LogEvent::Appended { stream, append },
                Err(error) => LogEvent::AppendFailed {
                    stream,
                    append,
                    may_have_taken_effect: error.may_have_taken_effect,
                },
            })
        });
    }

    fn read_log(&self, stream: LogStream, from: Offset, wait: Duration) {
        let log_service = self.log_service;
        let executor = self.executor.clone();
        let name = self.stream_name(stream);
        self.spawn_and_submit(async move {
            Event::Log(match log_service.read(&executor, &name, from, wait).await {
                Ok(page) => LogEvent::Read {
                    stream,
                    era: page.era(),
                    from,
                    oldest: page.oldest,
                    end: page.end,
                    records: page.records.into_iter().map(LogRecord::from).collect(),
                },
                Err(_) => LogEvent::ReadFailed { stream },
            })
        });
    }

    fn fetch_vm_list(&self) {
        let executor = self.executor.clone();
        let address = self.settings.vm_list_address;
        self.spawn_and_submit(async move { vm_list::fetch(&executor, address).await });
    }
}
