//! Errors of the kernel.

/// The reason why an operation of the kernel failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No service is published under the name.
    #[error("no service is published as `{0}`; start it before the services that look for it")]
    NotPublished(String),
    /// The service's handle has a type other than the requested one.
    #[error("the service `{name}` is not a `{expected}`; look for the type that it publishes")]
    WrongType {
        /// The service's name.
        name: String,
        /// The requested type.
        expected: &'static str,
    },
    /// Another service is already published under the name.
    #[error("a service is already published as `{0}`; choose another name")]
    NameTaken(String),
    /// A thread or runtime could not be started.
    #[error("cannot start the {part}: {cause}; raise the limit on threads and open files")]
    Start {
        /// The part that was to be started.
        part: &'static str,
        /// The cause of the failure.
        cause: std::io::Error,
    },
}
