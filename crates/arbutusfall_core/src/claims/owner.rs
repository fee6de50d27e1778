//! Partition owner: appends claims in group commits and answers from what it reads back.
//!
//! Two concurrent owners of a partition are safe: both answer from the same log, and the first claim on it wins.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutusfall_wire::ClaimRecord;
use arbutusfall_wire::ClaimRequest;
use arbutusfall_wire::ClaimVerdict;
use arbutusfall_wire::Name;
use arbutusfall_wire::RecordOutcome;

use crate::Counter;
use crate::Effect;
use crate::LogEvent;
use crate::LogStream;
use crate::Notice;
use crate::claims::partition::InFlightAppend;
use crate::claims::partition::LogPage;
use crate::claims::partition::Partition;
use crate::claims::partition::WaitingGoal;
use crate::claims::partition::WaitingRequest;
use crate::claims::partition_of;
use crate::claims::replies::answer_waiting;
use crate::claims::replies::refuse_claim;
use crate::claims::replies::reply;
use crate::claims::replies::too_old_verdict;
use crate::claims::restores::answer_unclaimable;
use crate::config::ClaimSettings;
use crate::context::Context;
use crate::timers::Timer;

/// Maximum number of records in one append.
const MAX_RECORDS_PER_APPEND: usize = 256;

/// Maximum number of requests waiting for one partition's log.
const MAX_WAITING_REQUESTS: usize = 4_096;

/// Maximum number of records queued for one partition.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Time to wait for an append's answer before reading the log to see whether it took effect.
const APPEND_POLL_DELAY: Duration = Duration::from_millis(250);

/// Delay before a queued outcome is appended, unless an append of claims includes it earlier.
const OUTCOME_APPEND_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of doublings of the retry delay.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Partitions for which this VM received claims or outcomes.
#[derive(Debug, Clone, Default)]
pub(crate) struct PartitionOwner {
    pub(super) partitions: BTreeMap<u16, Partition>,
    /// Number of the newest era seen.
    pub(super) era: u64,
    /// Time of the log's last restore since the Unix epoch, by this VM's clock.
    pub(super) restored_at: Option<Duration>,
    /// Number of the last append; each append of this process has its own.
    last_append_number: u64,
}

impl PartitionOwner {
    /// Returns whether no record is queued or in flight, ignoring partitions whose log is down.
    pub(crate) fn is_idle(&self) -> bool {
        self.partitions.values().all(|partition| {
            partition.log_down || (partition.queued.is_empty() && partition.in_flight.is_none())
        })
    }

    /// Handles a claim: queues it if no claim of the key was read yet, or else replies with the first claim, after one
    /// more read if its outcome isn't known.
    pub(crate) fn on_claim(&mut self, entry_vm: &Name, claim: ClaimRequest, ctx: &mut Context<'_>) {
        let index = partition_of(claim.key, &ctx.site_config.claims);
        let lost_before = self.lost_before(ctx);
        let partition = self.partitions.entry(index).or_default();
        partition.raise_oldest_claimable(oldest_claimable(ctx));
        partition.raise_lost_before(lost_before);
        if partition.is_too_old(claim.key) {
            let verdict = too_old_verdict(entry_vm, claim.request, claim.fingerprint);
            reply(entry_vm, claim.key, claim.request, verdict, ctx);
            return;
        }
        let Some(first_claim) = partition.first_claim(claim.key) else {
            self.enqueue_claim(index, entry_vm, claim, ctx);
            return;
        };
        let verdict = first_claim.verdict(claim.request);
        let is_final = first_claim.outcome.is_some() || verdict == ClaimVerdict::Won;
        if is_final || partition.log_down || partition.waiting.len() >= MAX_WAITING_REQUESTS {
            reply(entry_vm, claim.key, claim.request, verdict, ctx);
            return;
        }
        let waiting = WaitingRequest {
            entry_vm: entry_vm.clone(),
            fingerprint: claim.fingerprint,
            goal: WaitingGoal::Outcome,
        };
        partition
            .waiting
            .insert((claim.key, claim.request), waiting);
        self.read(index, ctx);
    }

    /// Queues a claim; no claim of its key was found in the log as far as it was read.
    fn enqueue_claim(
        &mut self,
        index: u16,
        entry_vm: &Name,
        claim: ClaimRequest,
        ctx: &mut Context<'_>,
    ) {
        let partition = self.partitions.entry(index).or_default();
        if partition.waiting.contains_key(&(claim.key, claim.request)) {
            return;
        }
        let full = partition.waiting.len() >= MAX_WAITING_REQUESTS
            || partition.queued.len() >= MAX_QUEUED_RECORDS;
        if partition.log_down || full {
            refuse_claim(entry_vm, claim.key, claim.request, ctx);
            return;
        }
        let waiting = WaitingRequest {
            entry_vm: entry_vm.clone(),
            fingerprint: claim.fingerprint,
            goal: WaitingGoal::Claim {
                may_be_logged: false,
            },
        };
        partition
            .waiting
            .insert((claim.key, claim.request), waiting);
        if partition.may_be_lost(claim.key) {
            // It can't win, but the log may hold an earlier claim.
            self.read(index, ctx);
            return;
        }
        partition.queued.push_back(ClaimRecord::Claim {
            key: claim.key,
            vm: entry_vm.clone(),
            request: claim.request,
            fingerprint: claim.fingerprint,
        });
        self.append_queued(index, ctx);
    }

    /// Queues an outcome for the log; the sender doesn't wait for the append.
    pub(crate) fn on_outcome(&mut self, record: RecordOutcome, ctx: &mut Context<'_>) {
        let index = partition_of(record.key, &ctx.site_config.claims);
        let partition = self.partitions.entry(index).or_default();
        let record = ClaimRecord::Outcome {
            key: record.key,
            request: record.request,
            outcome: record.outcome,
        };
        if partition.is_redundant(&record) {
            return;
        }
        if partition.queued.len() >= MAX_QUEUED_RECORDS {
            ctx.count(Counter::OutcomesDropped);
            return;
        }
        partition.queued.push_back(record);
        // Nobody waits for this record, so it need not have its own append.
        self.schedule_wake_up(index, OUTCOME_APPEND_DELAY, ctx);
    }

    /// Appends queued records to the log, one append at a time.
    fn append_queued(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if partition.in_flight.is_some() || partition.log_down || partition.queued.is_empty() {
            return;
        }
        if ctx.now.monotonic < partition.next_append_at {
            schedule_append(index, partition, ctx);
            return;
        }
        let mut records = Vec::new();
        while records.len() < MAX_RECORDS_PER_APPEND
            && let Some(record) = partition.queued.pop_front()
        {
            if !partition.is_redundant(&record) {
                records.push(record);
            }
        }
        if records.is_empty() {
            return;
        }
        self.last_append_number += 1;
        let append = self.last_append_number;
        let texts = records
            .iter()
            .filter_map(|record| serde_json::to_string(record).ok());
        let texts = texts.map(Name::from).collect();
        partition.in_flight = Some(InFlightAppend { append, records });
        partition.next_append_at = ctx.now.monotonic + append_interval(&ctx.site_config.claims);
        ctx.count(Counter::Appends);
        ctx.push(Effect::Append {
            stream: LogStream::Claims(index),
            append,
            era: self.era,
            records: texts,
        });
        self.schedule_wake_up(index, APPEND_POLL_DELAY, ctx);
    }

    /// Appends again after the interval between two appends.
    pub(crate) fn on_append_timer(&mut self, index: u16, ctx: &mut Context<'_>) {
        if let Some(partition) = self.partitions.get_mut(&index) {
            partition.append_timer_set = false;
        }
        self.append_queued(index, ctx);
    }

    /// Reads the log from the next offset.
    pub(super) fn read(&mut self, index: u16, ctx: &mut Context<'_>) {
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
                append,
                may_have_taken_effect,
                ..
            } => self.on_append_failed(index, append, may_have_taken_effect, ctx),
            LogEvent::Read {
                era,
                from,
                oldest,
                end,
                records,
                ..
            } => {
                let page = LogPage {
                    era,
                    from,
                    oldest,
                    end,
                    records: &records,
                };
                self.on_read(index, &page, ctx);
            }
            LogEvent::ReadFailed { .. } => self.on_read_failed(index, ctx),
        }
    }

    fn take_in_flight(&mut self, index: u16, append: u64) -> Option<InFlightAppend> {
        let partition = self.partitions.get_mut(&index)?;
        partition
            .in_flight
            .take_if(|in_flight| in_flight.append == append)
    }

    fn on_appended(&mut self, index: u16, append: u64, ctx: &mut Context<'_>) {
        let in_flight = self.take_in_flight(index, append);
        if let Some(partition) = self.partitions.get_mut(&index) {
            let records = in_flight.iter().flat_map(|in_flight| &in_flight.records);
            records.for_each(|record| partition.mark_may_be_logged(record));
        }
        self.read(index, ctx);
        self.append_queued(index, ctx);
    }

    /// Requeues the records of a failed append, which may still take effect if `may_have_taken_effect`.
    fn on_append_failed(
        &mut self,
        index: u16,
        append: u64,
        may_have_taken_effect: bool,
        ctx: &mut Context<'_>,
    ) {
        let Some(in_flight) = self.take_in_flight(index, append) else {
            return;
        };
        ctx.count(Counter::AppendsFailed);
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        for record in in_flight.records.into_iter().rev() {
            if may_have_taken_effect {
                partition.mark_may_be_logged(&record);
            }
            partition.queued.push_front(record);
        }
        if may_have_taken_effect {
            self.read(index, ctx);
        }
        self.on_log_down(index, ctx);
    }

    /// Refuses the queued claims that can't be on the log, and schedules a retry with backoff.
    fn on_log_down(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if !partition.log_down {
            partition.log_down = true;
            ctx.note(Notice::LogDown(LogStream::Claims(index)));
        }
        let mut remaining = std::mem::take(&mut partition.queued);
        remaining.retain(|record| {
            let ClaimRecord::Claim { key, request, .. } = record else {
                return true;
            };
            if !partition.is_surely_unlogged(*key, *request) {
                return true;
            }
            if let Some(waiting) = partition.waiting.remove(&(*key, *request)) {
                refuse_claim(&waiting.entry_vm, *key, *request, ctx);
            }
            false
        });
        partition.queued = remaining;
        partition.backoff_doublings = (partition.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
        let base_delay = Duration::from_millis(ctx.site_config.timing.platform_retry_ms);
        let delay = base_delay * 2u32.pow(partition.backoff_doublings);
        self.schedule_wake_up(index, delay, ctx);
    }

    /// Sets the partition's wake-up timer; a pending one is kept, even if it is due later.
    ///
    /// Used to retry after a failure, to check on an append without an answer, and to append queued outcomes.
    fn schedule_wake_up(&mut self, index: u16, delay: Duration, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        if !partition.wake_up_timer_set {
            partition.wake_up_timer_set = true;
            ctx.set_timer(delay, Timer::WakePartition { partition: index });
        }
    }

    /// Reads the log if it is down or an append is in flight, and appends queued records.
    pub(crate) fn on_wake_up(&mut self, index: u16, ctx: &mut Context<'_>) {
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        partition.wake_up_timer_set = false;
        if partition.log_down || partition.in_flight.is_some() {
            self.read(index, ctx);
        }
        self.append_queued(index, ctx);
    }

    fn on_read(&mut self, index: u16, page: &LogPage<'_>, ctx: &mut Context<'_>) {
        let lost_before = self.lost_before(ctx);
        let Some(partition) = self.partitions.get_mut(&index) else {
            return;
        };
        partition.reading = false;
        partition.backoff_doublings = 0;
        if partition.log_down {
            partition.log_down = false;
            ctx.note(Notice::LogUp(LogStream::Claims(index)));
        }
        partition.raise_lost_before(lost_before);
        partition.read_again |= partition.fold_page(page);
        let again = partition.read_again;
        answer_waiting(partition, !again, ctx);
        if again {
            self.read(index, ctx);
        } else if let Some(partition) = self.partitions.get_mut(&index) {
            answer_unclaimable(partition, true, ctx);
        }
        self.append_queued(index, ctx);
        if self.is_in_flight(index) {
            self.schedule_wake_up(index, APPEND_POLL_DELAY, ctx);
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
            answer_unclaimable(partition, false, ctx);
        }
        self.on_log_down(index, ctx);
    }

    /// Removes the state of keys older than the claim window plus the permitted clock skew.
    pub(crate) fn on_sweep_timer(&mut self, ctx: &mut Context<'_>) {
        for partition in self.partitions.values_mut() {
            partition.raise_oldest_claimable(oldest_claimable(ctx));
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

/// Returns the earliest creation time, since the Unix epoch, of a key that can still be claimed.
fn oldest_claimable(ctx: &Context<'_>) -> Duration {
    let settings = &ctx.site_config.claims;
    let window = Duration::from_secs(settings.window_s);
    let skew = Duration::from_millis(settings.max_key_skew_ms);
    ctx.now.unix.saturating_sub(window + skew)
}
