//! The accounts of one version of the configuration, by API key and by name.
//!
//! Versions share the entries that do not differ: both maps are persistent tries, so a change copies one path of nodes.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use arbutusfall_wire::FastSet;
use arbutusfall_wire::Name;
use rpds::HashTrieMapSync;

use crate::relay::ApiKey;
use crate::relay::ClientAccount;

/// Accounts by API key and by name. A clone shares all entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountTable {
    /// Invariant: has exactly the keys of the entries in `by_name`, each of one account only.
    by_key: HashTrieMapSync<ApiKey, Arc<ClientAccount>>,
    by_name: HashTrieMapSync<Name, AccountEntry>,
}

/// An account with its keys.
#[derive(Debug, Clone, PartialEq)]
struct AccountEntry {
    account: Arc<ClientAccount>,
    keys: Arc<[ApiKey]>,
}

/// Why accounts cannot form a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AccountTableError {
    /// Two accounts have this name.
    DuplicateName(Name),
    /// This account has a key of another one.
    DuplicateKey(Name),
}

impl fmt::Display for AccountTableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateName(name) => write!(f, "two accounts are named {name}"),
            Self::DuplicateKey(name) => write!(f, "account {name} has a key of another account"),
        }
    }
}

impl Error for AccountTableError {}

impl AccountTable {
    /// Returns the account that a key belongs to.
    pub fn find(&self, key: &ApiKey) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }

    /// Returns the account of this name.
    pub fn get(&self, name: &Name) -> Option<&Arc<ClientAccount>> {
        self.by_name.get(name).map(|entry| &entry.account)
    }

    /// Returns whether an account of this name has keys.
    pub fn has_keys(&self, name: &Name) -> bool {
        let entry = self.by_name.get(name);
        entry.is_some_and(|entry| !entry.keys.is_empty())
    }

    /// Returns the digest of one of the account's keys; none if it has none, or if there is no such account.
    pub(crate) fn any_key(&self, name: &Name) -> Option<ApiKey> {
        self.by_name.get(name)?.keys.first().copied()
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.by_name.size()
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns a table of exactly these accounts, which shares with this one the entries that do not differ.
    ///
    /// # Errors
    ///
    /// [`AccountTableError`] if a name or a key is of two accounts.
    pub fn updated(
        &self,
        accounts: Vec<(ClientAccount, Vec<ApiKey>)>,
    ) -> Result<Self, AccountTableError> {
        let mut names = FastSet::default();
        for (account, _) in &accounts {
            if !names.insert(account.name.clone()) {
                return Err(AccountTableError::DuplicateName(account.name.clone()));
            }
        }
        let mut table = self.clone();
        for name in self.by_name.keys().filter(|name| !names.contains(*name)) {
            table.remove(name);
        }
        let changed = accounts
            .into_iter()
            .filter(|(account, keys)| !self.has(account, keys));
        let changed: Vec<_> = changed.collect();
        // All changed accounts are removed before any is added: a key may move between two of them in one version.
        for (account, _) in &changed {
            table.remove(&account.name);
        }
        for (account, keys) in changed {
            table.insert(account, keys)?;
        }
        Ok(table)
    }

    fn has(&self, account: &ClientAccount, keys: &[ApiKey]) -> bool {
        let entry = self.by_name.get(&account.name);
        entry.is_some_and(|entry| *entry.account == *account && *entry.keys == *keys)
    }

    fn remove(&mut self, name: &Name) {
        let Some(entry) = self.by_name.get(name).cloned() else {
            return;
        };
        self.by_name.remove_mut(name);
        for key in entry.keys.iter() {
            self.by_key.remove_mut(key);
        }
    }

    fn insert(
        &mut self,
        account: ClientAccount,
        keys: Vec<ApiKey>,
    ) -> Result<(), AccountTableError> {
        let account = Arc::new(account);
        for key in &keys {
            let owner = self.by_key.get(key);
            if owner.is_some_and(|owner| owner.name != account.name) {
                return Err(AccountTableError::DuplicateKey(account.name.clone()));
            }
            self.by_key.insert_mut(*key, account.clone());
        }
        let keys = keys.into();
        let name = account.name.clone();
        self.by_name
            .insert_mut(name, AccountEntry { account, keys });
        Ok(())
    }
}
