//! Partition owner: appends claims in group commits and answers from what it reads back.
//!
//! Two concurrent owners of a partition are safe: both answer from the same log, and the first claim on it wins.

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
use crate::claims::partition::Partition;
use crate::claims::partition::PendingAppend;
use crate::claims::partition::WaitingGoal;
use crate::claims::partition::WaitingRequest;
use crate::claims::partition_of;
use crate::config::ClaimSettings;
use crate::context::Context;
use crate::timers::Timer;

/// Maximum number of records in one append.
const MAX_RECORDS_PER_APPEND: usize = 256;

/// Maximum number of requests waiting for one partition's log.
const MAX_WAITING_REQUESTS: usize = 4_096;

/// Maximum number of records queued for one partition.
const MAX_UNSENT_RECORDS: usize = 4_096;

/// Retry delay sent to callers while the log is unavailable.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time after which the log is read for an append without an answer.
const APPEND_POLL_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay of an outcome, during which it may share an append with claims.
const MAX_OUTCOME_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of doublings of the retry delay.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Partitions for which this VM received claims or outcomes.
#[derive(Debug, Clone, Default)]
pub(crate) struct PartitionOwner {
    partitions: BTreeMap<u16, Partition>,
    appends: u64,
}

impl PartitionOwner {
    /// Returns whether this process can end without losing a record that the log could still accept.
    pub(crate) fn is_idle(&self) -> bool {
        self.partitions.values().all(|partition| {
            partition.log_down || (partition.unsent.is_empty() && partition.in_flight.is_none())
        })
    }

    /// Handles a claim: queues it if the key is free, or replies with the holder's claim.
    pub(crate) fn on_claim(&mut self, entry: &Name, claim: ClaimRequest, ctx: &mut Context<'_>) {
        let index = partition_of(claim.key, &ctx.site.claims);
        let partition = self.partitions.entry(index).or_default();
        partition.evict_before(eviction_limit(ctx));
        if partition.is_evicted(claim.key) {
            let verdict = evicted_verdict(entry, claim.request, claim.fingerprint);
            reply(entry, claim.key, claim.request, verdict, ctx);
            return;
        }
        let Some(claimed) = partition.claimed(claim.key) else {
            self.enqueue_claim(index, entry, claim, ctx);
            return;
        };
        let verdict = claimed.verdict(claim.request);
        let is_final = claimed.outcome.is_some() || verdict == ClaimVerdict::Won;
        if is_final || partition.log_down || partition.waiting.len() >= MAX_WAITING_REQUESTS {
            reply(entry, claim.key, claim.request, verdict, ctx);
            return;
        }
        let waiting = WaitingRequest {
            entry: entry.clone(),
            fingerprint: claim.fingerprint,
            goal: WaitingGoal::Outcome,
        };
        partition
            .waiting
            .insert((claim.key, claim.request), waiting);
        self.read(index, ctx);
    }

    /// Queues the claim of a key without a claim in the part of the log read so far.
    fn enqueue_claim(
        &mut self,
        index: u16,
        entry: &Name,
        claim: ClaimRequest,
        ctx: &mut Context<'_>,
    ) {
        let partition = self.partitions.entry(index).or_default();
        if partition.waiting.contains_key(&(claim.key, claim.request)) {
            return;
        }
        let full = partition.waiting.len() >= MAX_WAITING_REQUESTS
            || partition.unsent.len() >= MAX_UNSENT_RECORDS;
        if partition.log_down || full {
            refuse(entry, claim.key, claim.request, ctx);
            return;
        }
        let waiting = WaitingRequest {
            entry: entry.clone(),
            fingerprint: claim.fingerprint,
            goal: WaitingGoal::Claim { offered: false },
        };
        partition
            .waiting
            .insert((claim.key, claim.request), waiting);
        partition.unsent.push_back(ClaimRecord::Claim {
            key: claim.key,
            vm: entry.clone(),
            request: claim.request,
            fingerprint: claim.fingerprint,
        });
        self.append_unsent(index, ctx);
    }

    /// Queues an outcome for the log; the sender doesn't wait for the append.
    pub(crate) fn on_outcome(&mut self, record: RecordOutcome, ctx: &mut Context<'_>) {
        let index = partition_of(record.key, &ctx.site.claims);
        let partition = self.partitions.entry(index).or_default();
        let record = ClaimRecord::Outcome {
            key: record.key,
            request: record.request,
            outcome: record.outcome,
        };
        if partition.is_redundant(&record) {
            return;
        }
        if partition.unsent.len() >= MAX_UNSENT_RECORDS {
            ctx.count(Counter::OutcomesDropped);
            return;
        }
        partition.unsent.push_back(record);
        // No request waits for the record, so it shares the append of the next claims or follows after the delay.
        self.schedule_retry(index, MAX_OUTCOME_DELAY, ctx);
    }

    /// Appends queued records to the log, one append at a time.
    fn append_unsent(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if partition.in_flight.is_some() || partition.log_down || partition.unsent.is_empty() {
            return;
        }
        if ctx.now.monotonic < partition.next_append_at {
            schedule_append(index, partition, ctx);
            return;
        }
        let mut records = Vec::new();
        while records.len() < MAX_RECORDS_PER_APPEND
            && let Some(record) = partition.unsent.pop_front()
        {
            if !partition.is_redundant(&record) {
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
        partition.in_flight = Some(PendingAppend { append, records });
        partition.next_append_at = ctx.now.monotonic + append_interval(&ctx.site.claims);
        ctx.count(Counter::Appends);
        ctx.push(Effect::Append {
            stream: LogStream::Claims(index),
            append,
            records: texts,
        });
        self.schedule_retry(index, APPEND_POLL_DELAY, ctx);
    }

    /// Appends again after the interval between two appends.
    pub(crate) fn on_append_timer(&mut self, index: u16, ctx: &mut Context<'_>) {
        if let Some(partition) = self.partitions.get_mut(&index) {
            partition.append_timer_set = false;
        }
        self.append_unsent(index, ctx);
    }

    /// Reads the log from the next offset.
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
            from: partition.next_offset,
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

    fn take_pending_append(&mut self, index: u16, append: u64) -> Option<PendingAppend> {
        let partition = self.partitions.get_mut(&index)?;
        partition
            .in_flight
            .take_if(|pending| pending.append == append)
    }

    fn on_appended(&mut self, index: u16, append: u64, ctx: &mut Context<'_>) {
        let pending = self.take_pending_append(index, append);
        if let Some(partition) = self.partitions.get_mut(&index) {
            let records = pending.iter().flat_map(|pending| &pending.records);
            records.for_each(|record| partition.mark_offered(record));
        }
        self.read(index, ctx);
        self.append_unsent(index, ctx);
    }

    /// Requeues the records of a failed append, which may still take effect if it was offered to the log.
    fn on_append_failed(&mut self, index: u16, append: u64, offered: bool, ctx: &mut Context<'_>) {
        let Some(pending) = self.take_pending_append(index, append) else {
            return;
        };
        ctx.count(Counter::AppendsFailed);
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        for record in pending.records.into_iter().rev() {
            if offered {
                partition.mark_offered(&record);
            }
            partition.unsent.push_front(record);
        }
        if offered {
            self.read(index, ctx);
        }
        self.on_log_unavailable(index, ctx);
    }

    /// Refuses the queued claims that were never offered to the log, and schedules a retry with backoff.
    fn on_log_unavailable(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if !partition.log_down {
            partition.log_down = true;
            ctx.note(Notice::LogDown(LogStream::Claims(index)));
        }
        let mut remaining = std::mem::take(&mut partition.unsent);
        remaining.retain(|record| {
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
        partition.unsent = remaining;
        partition.backoff_doublings = (partition.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
        let first = Duration::from_millis(ctx.site.timing.platform_retry_ms);
        let delay = first * 2u32.pow(partition.backoff_doublings);
        self.schedule_retry(index, delay, ctx);
    }

    fn schedule_retry(&mut self, index: u16, delay: Duration, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if !partition.retry_timer_set {
            partition.retry_timer_set = true;
            ctx.set_timer(delay, Timer::RetryPartition { partition: index });
        }
    }

    /// Reads the log if it is down or an append is in flight, and appends queued records.
    pub(crate) fn on_retry(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        partition.retry_timer_set = false;
        if partition.log_down || partition.in_flight.is_some() {
            self.read(index, ctx);
        }
        self.append_unsent(index, ctx);
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
        partition.backoff_doublings = 0;
        if partition.log_down {
            partition.log_down = false;
            ctx.note(Notice::LogUp(LogStream::Claims(index)));
        }
        let before = partition.next_offset;
        partition.fold_page(oldest, records);
        partition.read_again |= before < partition.next_offset && partition.next_offset < end;
        let again = partition.read_again;
        answer_waiting(partition, !again, ctx);
        if again {
            self.read(index, ctx);
        }
        self.append_unsent(index, ctx);
        if self.is_in_flight(index) {
            self.schedule_retry(index, APPEND_POLL_DELAY, ctx);
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
        self.on_log_unavailable(index, ctx);
    }

    /// Evicts keys older than the claim window plus the permitted clock skew.
    pub(crate) fn on_sweep_timer(&mut self, ctx: &mut Context<'_>) {
        for partition in self.partitions.values_mut() {
            partition.evict_before(eviction_limit(ctx));
            partition.sweep();
            answer_waiting(partition, false, ctx);
        }
    }
}

/// Returns the time between two appends of one partition, so that all partitions together stay within the limit.
fn append_interval(settings: &ClaimSettings) -> Duration {
    Duration::from_secs(1) * u32::from(settings.partitions) / settings.max_appends_per_s.max(1)
}

fn schedule_append(index: u16, partition: &mut Partition, ctx: &mut Context<'_>) {
    if partition.append_timer_set {
        return;
    }
    partition.append_timer_set = true;
    let pause = partition.next_append_at - ctx.now.monotonic;
    ctx.set_timer(pause, Timer::AppendClaims { partition: index });
}

/// Returns the creation time before which keys are evicted.
fn eviction_limit(ctx: &Context<'_>) -> Duration {
    let settings = &ctx.site.claims;
    let window = Duration::from_secs(settings.window_s);
    let skew = Duration::from_millis(settings.max_key_skew_ms);
    ctx.now.unix.saturating_sub(window + skew)
}

/// Returns the verdict for an evicted key: the request must not run, and the outcome is unknown.
fn evicted_verdict(entry: &Name, request: RequestId, fingerprint: u64) -> ClaimVerdict {
    ClaimVerdict::Lost {
        vm: entry.clone(),
        holder: request,
        fingerprint,
        outcome: Some(Outcome::Unknown),
    }
}

/// Replies to waiting requests whose key is claimed on the log or evicted.
///
/// A request waiting for an outcome that the log lacks is answered only if `read_done`: the log was read to its end, or
/// the read failed.
fn answer_waiting(partition: &mut Partition, read_done: bool, ctx: &mut Context<'_>) {
    let mut waiting = std::mem::take(&mut partition.waiting);
    waiting.retain(|(key, request), waiting| {
        if partition.is_evicted(*key) {
            let verdict = evicted_verdict(&waiting.entry, *request, waiting.fingerprint);
            reply(&waiting.entry, *key, *request, verdict, ctx);
            return false;
        }
        let Some(claimed) = partition.claimed(*key) else {
            return true;
        };
        if waiting.goal == WaitingGoal::Outcome && claimed.outcome.is_none() && !read_done {
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
