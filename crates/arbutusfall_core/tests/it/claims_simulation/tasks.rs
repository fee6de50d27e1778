//! Messages, appends, reads and service calls in progress: their next step, or their failure.

use std::time::Duration;

use arbutusfall_core::CallId;
use arbutusfall_core::Event;
use arbutusfall_core::LogEra;
use arbutusfall_core::LogEvent;
use arbutusfall_core::LogRecord;
use arbutusfall_core::LogStream;
use arbutusfall_core::ServiceAnswer;
use arbutusfall_core::ServiceEvent;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::Sender;

use crate::claims_simulation::Simulation;
use crate::claims_simulation::key_text;

/// Age that the log states for records of the copy that it was restored from.
const BEFORE_RESTORE: Duration = Duration::from_secs(60);

/// Age that the log states for its era.
const SINCE_RESTORE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum AppendState {
    Waiting,
    Applied,
    /// The VM got a failure with `may_have_taken_effect` set or was killed, and the append may still take effect.
    AnswerLost,
}

/// A message, append, read or service call in progress.
#[derive(Debug, Clone)]
pub(super) enum Task {
    Message {
        from: Sender,
        to: usize,
        message: PeerMessage,
    },
    Append {
        vm: usize,
        append: u64,
        /// Era that the VM states; the log refuses the append in another one.
        era: usize,
        records: Vec<Name>,
        state: AppendState,
    },
    Read {
        vm: usize,
        from: u64,
        /// Era and end of the log when it served the read; `None` until then.
        served_to: Option<(usize, usize)>,
    },
    Service {
        vm: usize,
        call: usize,
        attempt: u32,
    },
}

impl Simulation {
    pub(super) fn advance(&mut self, index: usize) {
        let stream = LogStream::Claims(0);
        let task = self.tasks.remove(index);
        match task {
            Task::Message { from, to, message } => {
                self.apply(to, Event::Peer { from, message });
            }
            Task::Append {
                vm,
                append,
                era,
                records,
                state,
            } => match state {
                AppendState::Waiting if era != self.log_eras.len() - 1 => {
                    let refused = LogEvent::AppendFailed {
                        stream,
                        append,
                        may_have_taken_effect: false,
                    };
                    self.apply(vm, Event::Log(refused));
                }
                AppendState::AnswerLost if era != self.log_eras.len() - 1 => {}
                AppendState::Waiting => {
                    self.log_mut().extend(records.iter().cloned());
                    self.tasks.push(Task::Append {
                        vm,
                        append,
                        era,
                        records,
                        state: AppendState::Applied,
                    });
                }
                AppendState::Applied => {
                    self.apply(vm, Event::Log(LogEvent::Appended { stream, append }));
                }
                AppendState::AnswerLost => self.log_mut().extend(records),
            },
            Task::Read {
                vm,
                from,
                served_to: None,
            } => {
                let served_to = Some((self.log_eras.len() - 1, self.log().len()));
                self.tasks.push(Task::Read {
                    vm,
                    from,
                    served_to,
                });
            }
            Task::Read {
                vm,
                from,
                served_to: Some((era, end)),
            } => self.apply(vm, Event::Log(self.page(from, era, end))),
            Task::Service { vm, call, attempt } => {
                let answer = ServiceAnswer {
                    status: 200,
                    content_type: "text/plain".into(),
                    body: key_text(self.calls[call].key).as_str().into(),
                };
                let answered = ServiceEvent::Answered {
                    call: CallId(call as u64),
                    attempt,
                    answer,
                };
                self.apply(vm, Event::Service(answered));
            }
        }
    }

    pub(super) fn fail(&mut self, index: usize, variant: u8) {
        let stream = LogStream::Claims(0);
        match self.tasks.remove(index) {
            Task::Message { .. } => {}
            Task::Append {
                vm,
                append,
                era,
                records,
                state,
            } => {
                let may_have_taken_effect = variant == 0;
                if state == AppendState::Waiting && may_have_taken_effect {
                    self.tasks.push(Task::Append {
                        vm,
                        append,
                        era,
                        records,
                        state: AppendState::AnswerLost,
                    });
                }
                let failed = LogEvent::AppendFailed {
                    stream,
                    append,
                    may_have_taken_effect,
                };
                self.apply(vm, Event::Log(failed));
            }
            Task::Read { vm, .. } => self.apply(vm, Event::Log(LogEvent::ReadFailed { stream })),
            Task::Service { vm, call, attempt } => {
                let sent = variant == 0;
                let dispatch = self
                    .dispatches
                    .iter_mut()
                    .find(|dispatch| dispatch.call == call && dispatch.attempt == attempt);
                dispatch
                    .expect("only dispatched calls fail")
                    .may_have_arrived = sent;
                let failed = ServiceEvent::Failed {
                    call: CallId(call as u64),
                    attempt,
                    sent,
                };
                self.apply(vm, Event::Service(failed));
            }
        }
    }

    fn page(&self, from: u64, era: usize, end: usize) -> LogEvent {
        let log = &self.log_eras[era];
        let served = log.records[..end].iter().enumerate().skip(from as usize);
        let records = served.map(|(offset, text)| LogRecord {
            offset: Offset(offset as u64),
            age: if offset < log.copied {
                BEFORE_RESTORE
            } else {
                Duration::ZERO
            },
            text: text.clone(),
        });
        LogEvent::Read {
            stream: LogStream::Claims(0),
            era: LogEra {
                number: era as u64,
                age: SINCE_RESTORE,
            },
            from: Offset(from),
            oldest: Offset(0),
            end: Offset(end as u64),
            records: records.collect(),
        }
    }
}
