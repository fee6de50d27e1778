//! Partition owner: appends claims in group commits and answers from what it reads back.
//!
//! Two owners at once do no harm: both answer from the same log, and the first claim in its order wins.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::ClaimRecord;
use arbutusfall_wire::ClaimReply;
use arbutusfall_wire::ClaimRequest;
use arbutusfall_wire::ClaimVerdict;
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
use crate::claims::partition::Flight;
use crate::claims::partition::Partition;
use crate::claims::partition::Waiting;
use crate::claims::partition::WaitingGoal;
use crate::claims::partition_of;
use crate::config::ClaimSettings;
use crate::context::Context;
use crate::timers::Timer;

/// Most records of one append.
const MAX_GROUP: usize = 256;

/// Most requests that wait for one partition's log.
const MAX_WAITING: usize = 4_096;

/// Most records that wait to be appended to one partition.
const MAX_UNSENT: usize = 4_096;

/// When callers are asked to come back while the log does not answer.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time after which an append without an answer is looked for on the log.
const APPEND_POLL: Duration = Duration::from_millis(250);

/// Longest time that an outcome waits for claims to be appended with.
const OUTCOME_DELAY: Duration = Duration::from_millis(100);

/// Most doublings of the delay between retries.
const MAX_DOUBLINGS: u32 = 4;

/// Partitions for which this VM was asked.
#[derive(Debug, Clone, Default)]
pub(crate) struct PartitionOwner {
    partitions: BTreeMap<u16, Partition>,
    appends: u64,
}

impl PartitionOwner {
    /// Whether nothing would be lost by the end of this process that the log could still take.
    pub(crate) fn is_idle(&self) -> bool {
        self.partitions.values().all(|partition| {
            partition.down || (partition.unsent.is_empty() && partition.in_flight.is_none())
        })
    }

    /// Claims a key for a request, or answers what the log says.
    pub(crate) fn on_claim(&mut self, entry: &Name, asked: ClaimRequest, ctx: &mut Context<'_>) {
        let index = partition_of(asked.key, &ctx.site.claims);
        let partition = self.partitions.entry(index).or_default();
        partition.forget_before(forgotten_limit(ctx));
        if partition.is_forgotten(asked.key) {
            let verdict = forgotten(entry, asked.request, asked.fingerprint);
            reply(entry, asked.key, asked.request, verdict, ctx);
            return;
        }
        let Some(claimed) = partition.claimed(asked.key) else {
            self.claim(index, entry, asked, ctx);
            return;
        };
        let verdict = claimed.verdict(asked.request);
        let final_word = claimed.outcome.is_some() || verdict == ClaimVerdict::Won;
        if final_word || partition.down || partition.waiting.len() >= MAX_WAITING {
            reply(entry, asked.key, asked.request, verdict, ctx);
            return;
        }
        let waiting = Waiting {
            entry: entry.clone(),
            fingerprint: asked.fingerprint,
            goal: WaitingGoal::Outcome,
        };
        partition
            .waiting
            .insert((asked.key, asked.request), waiting);
        self.read(index, ctx);
    }

    /// Queues the claim of a key that the log does not hold, as far as it was read.
    fn claim(&mut self, index: u16, entry: &Name, asked: ClaimRequest, ctx: &mut Context<'_>) {
        let partition = self.partitions.entry(index).or_default();
        if partition.waiting.contains_key(&(asked.key, asked.request)) {
            return;
        }
        let full = partition.waiting.len() >= MAX_WAITING || partition.unsent.len() >= MAX_UNSENT;
        if partition.down || full {
            refuse(entry, asked.key, asked.request, ctx);
            return;
        }
        let waiting = Waiting {
            entry: entry.clone(),
            fingerprint: asked.fingerprint,
            goal: WaitingGoal::Claim { offered: false },
        };
        partition
            .waiting
            .insert((asked.key, asked.request), waiting);
        partition.unsent.push_back(ClaimRecord::Claim {
            key: asked.key,
            vm: entry.clone(),
            request: asked.request,
            fingerprint: asked.fingerprint,
        });
        self.advance(index, ctx);
    }

    /// Writes an outcome behind to the log.
    pub(crate) fn on_outcome(&mut self, record: RecordOutcome, ctx: &mut Context<'_>) {
        let index = partition_of(record.key, &ctx.site.claims);
        let partition = self.partitions.entry(index).or_default();
        let record = ClaimRecord::Outcome {
            key: record.key,
            request: record.request,
            outcome: record.outcome,
        };
        if partition.is_settled(&record) {
            return;
        }
        if partition.unsent.len() >= MAX_UNSENT {
            ctx.count(Counter::OutcomesDropped);
            return;
        }
        partition.unsent.push_back(record);
        // Nobody waits for it, so it rides with the next claims or goes a little later.
        self.look_later(index, OUTCOME_DELAY, ctx);
    }

    /// Offers waiting records to the log, one append at a time.
    fn advance(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if partition.in_flight.is_some() || partition.down || partition.unsent.is_empty() {
            return;
        }
        if ctx.now.monotonic < partition.append_after {
            append_later(index, partition, ctx);
            return;
        }
        let mut records = Vec::new();
        while records.len() < MAX_GROUP
            && let Some(record) = partition.unsent.pop_front()
        {
            if !partition.is_settled(&record) {
                records.push(record);
            }
        }
        if records.is_empty() {
            return;
        }
        self.appends += 1;
        let append = self.appends;
        let texts = records
            .iter()
            .filter_map(|record| serde_json::to_string(record).ok());
        let texts = texts.map(Name::from).collect();
        partition.in_flight = Some(Flight { append, records });
        partition.append_after = ctx.now.monotonic + append_interval(&ctx.site.claims);
        ctx.count(Counter::Appends);
        ctx.push(Effect::Append {
            stream: LogStream::Claims(index),
            append,
            records: texts,
        });
        self.look_later(index, APPEND_POLL, ctx);
    }

    /// The pause after an append is over.
    pub(crate) fn on_append_timer(&mut self, index: u16, ctx: &mut Context<'_>) {
        if let Some(partition) = self.partitions.get_mut(&index) {
            partition.append_set = false;
        }
        self.advance(index, ctx);
    }

    /// Reads back what the log holds.
    fn read(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if partition.reading {
            partition.read_again = true;
            return;
        }
        partition.reading = true;
        partition.read_again = false;
        ctx.push(Effect::ReadLog {
            stream: LogStream::Claims(index),
            from: partition.next,
            wait: Duration::ZERO,
        });
    }

    /// Handles the log's answer for a claim stream.
    pub(crate) fn on_log(&mut self, index: u16, event: LogEvent, ctx: &mut Context<'_>) {
        match event {
            LogEvent::Appended { append, .. } => self.on_appended(index, append, ctx),
            LogEvent::AppendFailed {
                append, offered, ..
            } => self.on_append_failed(index, append, offered, ctx),
            LogEvent::Read {
                oldest,
                end,
                records,
                ..
            } => self.on_read(index, oldest, end, &records, ctx),
            LogEvent::ReadFailed { .. } => self.on_read_failed(index, ctx),
        }
    }

    fn take_flight(&mut self, index: u16, append: u64) -> Option<Flight> {
        let partition = self.partitions.get_mut(&index)?;
        partition
            .in_flight
            .take_if(|flight| flight.append == append)
    }

    fn on_appended(&mut self, index: u16, append: u64, ctx: &mut Context<'_>) {
        let flight = self.take_flight(index, append);
        if let Some(partition) = self.partitions.get_mut(&index) {
            let records = flight.iter().flat_map(|flight| &flight.records);
            records.for_each(|record| partition.mark_offered(record));
        }
        self.read(index, ctx);
        self.advance(index, ctx);
    }

    /// An append may still take effect unless it was never offered.
    fn on_append_failed(&mut self, index: u16, append: u64, offered: bool, ctx: &mut Context<'_>) {
        let Some(flight) = self.take_flight(index, append) else {
            return;
        };
        ctx.count(Counter::AppendsFailed);
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        for record in flight.records.into_iter().rev() {
            if offered {
                partition.mark_offered(&record);
            }
            partition.unsent.push_front(record);
        }
        if offered {
            self.read(index, ctx);
        }
        self.on_down(index, ctx);
    }

    /// Refuses what was never offered to the log, and reads again after a delay.
    fn on_down(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if !partition.down {
            partition.down = true;
            ctx.note(Notice::LogDown(LogStream::Claims(index)));
        }
        let mut kept = std::mem::take(&mut partition.unsent);
        kept.retain(|record| {
            let ClaimRecord::Claim { key, request, .. } = record else {
                return true;
            };
            if !partition.is_unoffered(*key, *request) {
                return true;
            }
            if let Some(waiting) = partition.waiting.remove(&(*key, *request)) {
                refuse(&waiting.entry, *key, *request, ctx);
            }
            false
        });
        partition.unsent = kept;
        partition.retries = (partition.retries + 1).min(MAX_DOUBLINGS);
        let first = Duration::from_millis(ctx.site.timing.platform_retry_ms);
        let delay = first * 2u32.pow(partition.retries);
        self.look_later(index, delay, ctx);
    }

    fn look_later(&mut self, index: u16, delay: Duration, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if !partition.retry_set {
            partition.retry_set = true;
            ctx.set_timer(delay, Timer::RetryPartition { partition: index });
        }
    }

    /// The delay before another look at the log is over.
    pub(crate) fn on_retry(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        partition.retry_set = false;
        if partition.down || partition.in_flight.is_some() {
            self.read(index, ctx);
        }
        self.advance(index, ctx);
    }

    fn on_read(
        &mut self,
        index: u16,
        oldest: Offset,
        end: Offset,
        records: &[LogRecord],
        ctx: &mut Context<'_>,
    ) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        partition.reading = false;
        partition.retries = 0;
        if partition.down {
            partition.down = false;
            ctx.note(Notice::LogUp(LogStream::Claims(index)));
        }
        let before = partition.next;
        partition.fold_page(oldest, records);
        partition.read_again |= before < partition.next && partition.next < end;
        let again = partition.read_again;
        answer_waiting(partition, !again, ctx);
        if again {
            self.read(index, ctx);
        }
        self.advance(index, ctx);
        if self.is_in_flight(index) {
            self.look_later(index, APPEND_POLL, ctx);
        }
    }

    fn is_in_flight(&self, index: u16) -> bool {
        let partition = self.partitions.get(&index);
        partition.is_some_and(|partition| partition.in_flight.is_some())
    }

    fn on_read_failed(&mut self, index: u16, ctx: &mut Context<'_>) {
        if let Some(partition) = self.partitions.get_mut(&index) {
            partition.reading = false;
            answer_waiting(partition, true, ctx);
        }
        self.on_down(index, ctx);
    }

    /// Frees what belongs to keys beyond the claim window.
    pub(crate) fn on_sweep_timer(&mut self, ctx: &mut Context<'_>) {
        for partition in self.partitions.values_mut() {
            partition.forget_before(forgotten_limit(ctx));
            partition.sweep();
            answer_waiting(partition, false, ctx);
        }
    }
}

/// Time between two appends of one partition, so that all of them together keep to their limit.
fn append_interval(settings: &ClaimSettings) -> Duration {
    Duration::from_secs(1) * u32::from(settings.partitions) / settings.max_appends_per_s.max(1)
}

fn append_later(index: u16, partition: &mut Partition, ctx: &mut Context<'_>) {
    if partition.append_set {
        return;
    }
    partition.append_set = true;
    let pause = partition.append_after - ctx.now.monotonic;
    ctx.set_timer(pause, Timer::AppendClaims { partition: index });
}

/// Creation time before which keys are forgotten.
fn forgotten_limit(ctx: &Context<'_>) -> Duration {
    let settings = &ctx.site.claims;
    let window = Duration::from_secs(settings.window_s);
    let skew = Duration::from_millis(settings.max_key_skew_ms);
    ctx.now.unix.saturating_sub(window + skew)
}

/// What a request for a forgotten key is told: it must not run, and what became of the key is not known.
fn forgotten(entry: &Name, request: RequestId, fingerprint: u64) -> ClaimVerdict {
    ClaimVerdict::Lost {
        vm: entry.clone(),
        holder: request,
        fingerprint,
        outcome: Some(Outcome::Unknown),
    }
}

/// Answers whoever has the log's word; those who wait for an outcome only after a look that saw everything.
fn answer_waiting(partition: &mut Partition, looked: bool, ctx: &mut Context<'_>) {
    let mut waiting = std::mem::take(&mut partition.waiting);
    waiting.retain(|(key, request), waiting| {
        if partition.is_forgotten(*key) {
            let verdict = forgotten(&waiting.entry, *request, waiting.fingerprint);
            reply(&waiting.entry, *key, *request, verdict, ctx);
            return false;
        }
        let Some(claimed) = partition.claimed(*key) else {
            return true;
        };
        if waiting.goal == WaitingGoal::Outcome && claimed.outcome.is_none() && !looked {
            return true;
        }
        let verdict = claimed.verdict(*request);
        reply(&waiting.entry, *key, *request, verdict, ctx);
        false
    });
    partition.waiting = waiting;
}

fn refuse(entry: &Name, key: IdempotencyKey, request: RequestId, ctx: &mut Context<'_>) {
    let verdict = ClaimVerdict::LogUnavailable {
        retry_after: LOG_RETRY_AFTER,
    };
    reply(entry, key, request, verdict, ctx);
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
