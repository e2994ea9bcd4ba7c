//! Services by name.

use std::{any, collections, sync};

use crate::error;

type Entry = sync::Arc<dyn any::Any + Send + Sync>;

/// Holds the handles of the services that run, by name.
///
/// ```
/// let registry = trefoildyke_kernel::Registry::default();
/// registry.publish("answer", 42_u32)?;
/// assert_eq!(registry.find::<u32>("answer")?, 42);
/// # Ok::<(), trefoildyke_kernel::Error>(())
/// ```
#[derive(Clone, Default)]
pub struct Registry {
    /// A name never changes its handle: services find the same one for as long as the daemon runs.
    entries: sync::Arc<sync::Mutex<collections::BTreeMap<String, Entry>>>,
}

impl Registry {
    /// Publishes a service's handle.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken.
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

    /// Finds a service's handle.
    ///
    /// # Errors
    ///
    /// Fails if nothing is published under the name, or something of another type.
    pub fn find<T>(&self, name: &str) -> Result<T, error::Error>
    where
        T: Clone + Send + Sync + 'static,
    {
        let entry = self.lock().get(name).cloned();
        let entry = entry.ok_or_else(|| error::Error::NotPublished(name.to_owned()))?;
        entry.downcast_ref::<T>().cloned().ok_or_else(|| error::Error::WrongType {
            name: name.to_owned(),
            wanted: any::type_name::<T>(),
        })
    }

    /// Returns the names of all published services in order.
    pub fn names(&self) -> Vec<String> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<String, Entry>> {
        self.entries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
