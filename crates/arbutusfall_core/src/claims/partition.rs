//! Partition owner: appends claims in group commits and answers from what it reads back.
//!
//! Two owners at once do no harm: both answer from the same log, and the first claim in its order wins.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use arbutusfall_wire::ClaimRecord;
use arbutusfall_wire::ClaimReply;
use arbutusfall_wire::ClaimRequest;
use arbutusfall_wire::ClaimVerdict;
use arbutusfall_wire::FastMap;
use arbutusfall_wire::IdempotencyKey;
use arbutusfall_wire::Name;
use arbutusfall_wire::Offset;
use arbutusfall_wire::Outcome;
use arbutusfall_wire::PeerMessage;
use arbutusfall_wire::RecordOutcome;
use arbutusfall_wire::RequestId;

use crate::Counter;
use crate::Effect;
use crate::LogEvent;
use crate::LogRecord;
use crate::LogStream;
use crate::Notice;
use crate::claims::partition_of;
use crate::context::Context;
use crate::timers::Timer;

/// Most records of one append.
const MAX_GROUP: usize = 256;

/// When callers are asked to come back while the log does not answer.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Partitions for which this VM was asked.
#[derive(Debug, Default)]
pub(crate) struct PartitionOwner {
    partitions: BTreeMap<u16, Partition>,
    appends: u64,
}

/// One partition's claims, folded from its stream.
#[derive(Debug, Default)]
struct Partition {
    /// First offset that was not read yet.
    next: Offset,
    claims: FastMap<IdempotencyKey, Claimed>,
    /// Who waits for the log's word on a key.
    waiting: BTreeMap<(IdempotencyKey, RequestId), Name>,
    /// Records that were not offered to the log yet.
    unsent: VecDeque<ClaimRecord>,
    /// The append in progress.
    in_flight: Option<Flight>,
    /// Whether a read is in progress.
    reading: bool,
    /// Whether the log failed to answer lately.
    down: bool,
    retries: u32,
}

/// The first claim of a key.
#[derive(Debug)]
struct Claimed {
    vm: Name,
    holder: RequestId,
    outcome: Option<Outcome>,
}

/// An append whose answer has not come.
#[derive(Debug)]
struct Flight {
    append: u64,
    records: Vec<ClaimRecord>,
}

impl PartitionOwner {
    /// Claims a key for a request, or answers what the log already says.
    pub(crate) fn on_claim(&mut self, entry: &Name, asked: ClaimRequest, ctx: &mut Context<'_>) {
        let index = partition_of(asked.key, &ctx.site.claims);
        let partition = self.partitions.entry(index).or_default();
        if let Some(claimed) = partition.claims.get(&asked.key) {
            let verdict = claimed.verdict(asked.request);
            reply(entry, asked.key, asked.request, verdict, ctx);
            return;
        }
        let waiting = (asked.key, asked.request);
        if partition.waiting.insert(waiting, entry.clone()).is_none() {
            partition.unsent.push_back(ClaimRecord::Claim {
                key: asked.key,
                vm: entry.clone(),
                request: asked.request,
            });
        }
        self.advance(index, ctx);
    }

    /// Writes an outcome behind to the log.
    pub(crate) fn on_outcome(&mut self, record: RecordOutcome, ctx: &mut Context<'_>) {
        let index = partition_of(record.key, &ctx.site.claims);
        let partition = self.partitions.entry(index).or_default();
        let known = partition.claims.get(&record.key);
        if known.is_some_and(|claimed| claimed.outcome.is_some()) {
            return;
        }
        partition.unsent.push_back(ClaimRecord::Outcome {
            key: record.key,
            request: record.request,
            outcome: record.outcome,
        });
        self.advance(index, ctx);
    }

    /// Offers waiting records to the log, one append at a time.
    fn advance(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if partition.in_flight.is_some() || partition.unsent.is_empty() {
            return;
        }
        let count = partition.unsent.len().min(MAX_GROUP);
        let records: Vec<ClaimRecord> = partition.unsent.drain(..count).collect();
        self.appends += 1;
        let append = self.appends;
        let texts = records
            .iter()
            .filter_map(|record| serde_json::to_string(record).ok());
        let texts = texts.map(Name::from).collect();
        partition.in_flight = Some(Flight { append, records });
        ctx.count(Counter::Appends);
        ctx.push(Effect::Append {
            stream: LogStream::Claims(index),
            append,
            records: texts,
        });
    }

    /// Reads back what the log holds.
    fn read(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if partition.reading {
            return;
        }
        partition.reading = true;
        ctx.push(Effect::ReadLog {
            stream: LogStream::Claims(index),
            from: partition.next,
            wait: Duration::ZERO,
        });
    }

    /// Handles the log's answer for a claim stream.
    pub(crate) fn on_log(&mut self, index: u16, event: LogEvent, ctx: &mut Context<'_>) {
        match event {
            LogEvent::Appended { append, .. } => {
                self.on_appended(index, append);
                self.read(index, ctx);
                self.advance(index, ctx);
            }
            LogEvent::AppendFailed {
                append, offered, ..
            } => {
                self.on_append_failed(index, append, offered, ctx);
            }
            LogEvent::Read { end, records, .. } => self.on_read(index, end, &records, ctx),
            LogEvent::ReadFailed { .. } => self.on_read_failed(index, ctx),
        }
    }

    fn on_appended(&mut self, index: u16, append: u64) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if partition
            .in_flight
            .as_ref()
            .is_some_and(|flight| flight.append == append)
        {
            partition.in_flight = None;
        }
    }

    /// An append may still take effect unless it was never offered.
    fn on_append_failed(&mut self, index: u16, append: u64, offered: bool, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        let Some(flight) = partition
            .in_flight
            .take_if(|flight| flight.append == append)
        else {
            return;
        };
        ctx.count(Counter::AppendsFailed);
        for record in flight.records {
            match record {
                ClaimRecord::Claim { key, request, .. } if !offered => {
                    let waiting = partition.waiting.remove(&(key, request));
                    let verdict = ClaimVerdict::LogUnavailable {
                        retry_after: LOG_RETRY_AFTER,
                    };
                    if let Some(entry) = waiting {
                        reply(&entry, key, request, verdict, ctx);
                    }
                }
                record => partition.unsent.push_back(record),
            }
        }
        if offered {
            self.read(index, ctx);
        }
        self.retry_later(index, ctx);
    }

    fn retry_later(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        partition.retries = (partition.retries + 1).min(4);
        if !partition.down {
            partition.down = true;
            ctx.note(Notice::LogDown(LogStream::Claims(index)));
        }
        let first = Duration::from_millis(ctx.site.timing.platform_retry_ms);
        let delay = first * 2u32.pow(partition.retries);
        ctx.set_timer(delay, Timer::RetryPartition { partition: index });
    }

    /// The delay after a failure is over.
    pub(crate) fn on_retry(&mut self, index: u16, ctx: &mut Context<'_>) {
        self.read(index, ctx);
        self.advance(index, ctx);
    }

    fn on_read(&mut self, index: u16, end: Offset, records: &[LogRecord], ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        partition.reading = false;
        partition.retries = 0;
        if partition.down {
            partition.down = false;
            ctx.note(Notice::LogUp(LogStream::Claims(index)));
        }
        for record in records {
            if record.offset < partition.next {
                continue;
            }
            partition.next = record.offset.next();
            if let Ok(record) = serde_json::from_str::<ClaimRecord>(&record.text) {
                partition.fold(record);
            }
        }
        let behind = partition.next < end && !records.is_empty();
        partition.answer_waiting(ctx);
        if behind {
            self.read(index, ctx);
        }
    }

    fn on_read_failed(&mut self, index: u16, ctx: &mut Context<'_>) {
        if let Some(partition) = self.partitions.get_mut(&index) {
            partition.reading = false;
        }
        self.retry_later(index, ctx);
    }
}

impl Partition {
    /// Takes one record in log order: the first claim of a key wins.
    fn fold(&mut self, record: ClaimRecord) {
        match record {
            ClaimRecord::Claim { key, vm, request } => {
                self.claims.entry(key).or_insert(Claimed {
                    vm,
                    holder: request,
                    outcome: None,
                });
            }
            ClaimRecord::Outcome {
                key,
                request,
                outcome,
            } => {
                let claimed = self.claims.get_mut(&key);
                if let Some(claimed) = claimed.filter(|claimed| claimed.holder == request) {
                    claimed.outcome.get_or_insert(outcome);
                }
            }
        }
    }

    fn answer_waiting(&mut self, ctx: &mut Context<'_>) {
        let claims = &self.claims;
        self.waiting.retain(|(key, request), entry| {
            let Some(claimed) = claims.get(key) else {
                return true;
            };
            reply(entry, *key, *request, claimed.verdict(*request), ctx);
            false
        });
    }
}

impl Claimed {
    fn verdict(&self, request: RequestId) -> ClaimVerdict {
        if self.holder == request {
            return ClaimVerdict::Won;
        }
        ClaimVerdict::Lost {
            vm: self.vm.clone(),
            holder: self.holder,
            outcome: self.outcome.clone(),
        }
    }
}

fn reply(
    entry: &Name,
    key: IdempotencyKey,
    request: RequestId,
    verdict: ClaimVerdict,
    ctx: &mut Context<'_>,
) {
    ctx.send(
        entry,
        PeerMessage::Claimed(ClaimReply {
            key,
            request,
            verdict,
        }),
    );
}
