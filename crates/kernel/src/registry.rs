//! The registry of services.

use std::{any, collections, sync};

use crate::error;

type AnyHandle = sync::Arc<dyn any::Any + Send + Sync>;

/// The handles of the running services, by name. Clones share the same registry.
///
/// ```
/// let registry = trefoildyke_kernel::Registry::default();
/// registry.publish("answer", 42_u32)?;
/// assert_eq!(registry.find::<u32>("answer")?, 42);
/// # Ok::<(), trefoildyke_kernel::Error>(())
/// ```
#[derive(Clone, Default)]
pub struct Registry {
    /// An entry is never replaced or removed: a name gives the same handle for as long as the daemon runs.
    entries: sync::Arc<sync::Mutex<collections::BTreeMap<String, AnyHandle>>>,
}

impl Registry {
    /// Publishes the handle of a service under a name.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::NameTaken`] if the name is taken.
    pub fn publish<T>(&self, name: &str, handle: T) -> Result<(), error::Error>
    where
        T: Clone + Send + Sync + 'static,
    {
        let mut entries = self.lock();
        if entries.contains_key(name) {
            return Err(error::Error::NameTaken(name.to_owned()));
        }
        entries.insert(name.to_owned(), sync::Arc::new(handle));
        Ok(())
    }

    /// Returns a clone of the handle published under a name.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::NotPublished`] if nothing is published under the name, and
    /// [`error::Error::WrongType`] if the handle is not a `T`.
    pub fn find<T>(&self, name: &str) -> Result<T, error::Error>
    where
        T: Clone + Send + Sync + 'static,
    {
        let handle = self.lock().get(name).cloned();
        let handle = handle.ok_or_else(|| error::Error::NotPublished(name.to_owned()))?;
        handle.downcast_ref::<T>().cloned().ok_or_else(|| error::Error::WrongType {
            name: name.to_owned(),
            expected: any::type_name::<T>(),
        })
    }

    /// Returns the names of all published services in alphabetical order.
    pub fn names(&self) -> Vec<String> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<String, AnyHandle>> {
        self.entries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
