//! Failures of spawned tasks.

use std::{any, fmt};

/// Reports a task that ended by an error or a panic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The task's name.
    pub task: String,
    /// What happened, for a person to read.
    pub cause: String,
}

impl Fault {
    pub(crate) fn new(task: &str, cause: &impl ToString) -> Self {
        Self { task: task.to_owned(), cause: cause.to_string() }
    }

    pub(crate) fn from_panic(task: &str, panic: &(dyn any::Any + Send)) -> Self {
        let text = panic
            .downcast_ref::<&str>()
            .copied()
            .or_else(|| panic.downcast_ref::<String>().map(String::as_str))
            .unwrap_or("no message");
        Self { task: task.to_owned(), cause: format!("panic: {text}") }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "task `{}` failed: {}; see the log lines before this one", self.task, self.cause)
    }
}
