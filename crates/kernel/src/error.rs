//! What can go wrong in the kernel.

/// Says why the kernel could not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No service of that name has been published.
    #[error("no service is published as `{0}`; start it before the services that look for it")]
    NotPublished(String),
    /// The service's handle has another type.
    #[error("the service `{name}` is not a `{wanted}`; look for the type that it publishes")]
    WrongType {
        /// The service's name.
        name: String,
        /// The type that was looked for.
        wanted: &'static str,
    },
    /// Another service has the name.
    #[error("a service is already published as `{0}`; choose another name")]
    NameTaken(String),
    /// A thread or runtime could not be started.
    #[error("cannot start the {part}: {cause}; raise the limit on threads and open files")]
    Start {
        /// What was being started.
        part: &'static str,
        /// Why it failed.
        cause: std::io::Error,
    },
}
