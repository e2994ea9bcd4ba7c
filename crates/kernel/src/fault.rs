//! Failures of spawned tasks.

use std::{any, fmt};

/// The report of a task that ended with an error or a panic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The name of the task.
    pub task: String,
    /// The error or panic message, in human-readable form.
    pub cause: String,
}

impl Fault {
    pub(crate) fn new(task: &str, cause: &impl ToString) -> Self {
        Self { task: task.to_owned(), cause: cause.to_string() }
    }

    pub(crate) fn from_panic(task: &str, panic: &(dyn any::Any + Send)) -> Self {
        let message = panic
            .downcast_ref::<&str>()
            .copied()
            .or_else(|| panic.downcast_ref::<String>().map(String::as_str))
            .unwrap_or("no message");
        Self { task: task.to_owned(), cause: format!("panic: {message}") }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "task `{}` failed: {}; see the log lines before this one", self.task, self.cause)
    }
}
