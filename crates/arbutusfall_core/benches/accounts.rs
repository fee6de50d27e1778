//! Time of a lookup by API key and of an update of one account, for several numbers of accounts:
//! `cargo bench -p arbutusfall_core --bench accounts`.

use std::time::Instant;

use arbutusfall_core::relay::AccountTable;
use arbutusfall_core::relay::AccountTableError;
use arbutusfall_core::relay::ApiKey;
use arbutusfall_core::relay::ClientAccount;

/// Numbers of accounts.
const ACCOUNTS: [u32; 3] = [16, 1_000, 27_000];

/// Measured batches of lookups.
const BATCHES: usize = 1_001;

/// Lookups of one batch.
const LOOKUPS_PER_BATCH: usize = 1_000;

/// Distance of two keys that are looked up one after the other.
const STEP: usize = 7_919;

/// Measured digests.
const DIGESTS: u32 = 1_000_000;

/// Measured versions of the table.
const VERSIONS: u32 = 20;

fn main() -> Result<(), AccountTableError> {
    println!("accounts  digest  lookup (ns)   compare all  drop the former (us/version)");
    for count in ACCOUNTS {
        let table = AccountTable::default().updated(accounts(count, 0))?;
        let digest_ns = digest_ns();
        let lookup_ns = lookup_ns(&table, count);
        let (update_us, drop_us) = update_us(table, count)?;
        println!("{count:8} {digest_ns:7} {lookup_ns:7} {update_us:20} {drop_us:16}");
    }
    Ok(())
}

/// Returns accounts of which the first has a key of its own in each version.
fn accounts(count: u32, version: u32) -> Vec<(ClientAccount, Vec<ApiKey>)> {
    let accounts = (0..count).map(|number| {
        let account = ClientAccount {
            name: format!("account-{number}").into(),
            priority: None,
            quota: None,
        };
        let version = if number == 0 { version } else { 0 };
        (account, vec![key(number, version)])
    });
    accounts.collect()
}

fn key(number: u32, version: u32) -> ApiKey {
    ApiKey::new(format!("sk-{number:032}-{version}").as_bytes())
}

/// Returns the mean time to compute the digest of a key.
fn digest_ns() -> u128 {
    let text = format!("sk-{:032}-0", 7);
    let started = Instant::now();
    for _ in 0..DIGESTS {
        std::hint::black_box(ApiKey::new(std::hint::black_box(text.as_bytes())));
    }
    started.elapsed().as_nanos() / u128::from(DIGESTS)
}

/// Returns the median, over batches, of the mean time of a lookup: batches in which the thread was interrupted don't count.
fn lookup_ns(table: &AccountTable, count: u32) -> u128 {
    let keys: Vec<ApiKey> = (0..count).map(|number| key(number, 0)).collect();
    // A step that is prime to the counts visits all keys, of which no two in a row are neighbours in memory.
    let mut index = 0;
    let batches = (0..BATCHES).map(|_| {
        let started = Instant::now();
        for _ in 0..LOOKUPS_PER_BATCH {
            index = (index + STEP) % keys.len();
            std::hint::black_box(table.find(&keys[index]));
        }
        started.elapsed().as_nanos() / LOOKUPS_PER_BATCH as u128
    });
    let mut batches: Vec<u128> = batches.collect();
    batches.sort_unstable();
    batches[BATCHES / 2]
}

/// Returns the mean times of a version in which one account differs: to compare it with the former one, and to drop that one.
fn update_us(mut table: AccountTable, count: u32) -> Result<(u128, u128), AccountTableError> {
    let (mut update_us, mut drop_us) = (0, 0);
    for version in 1..=VERSIONS {
        let accounts = accounts(count, version);
        let started = Instant::now();
        let next = table.updated(accounts)?;
        update_us += started.elapsed().as_micros();
        let started = Instant::now();
        table = next;
        drop_us += started.elapsed().as_micros();
    }
    let versions = u128::from(VERSIONS);
    Ok((update_us / versions, drop_us / versions))
}
