//! `explain`: shows from log files how a request ended and why.

use std::{fs, io, io::BufRead as _};

use crate::{explain, failure::Failure, options, output};

/// Reads the files and shows the lines that explain the request.
pub(crate) fn execute(
    options: &options::Explain,
    format: output::Format,
    out: &mut dyn io::Write,
) -> Result<(), Failure> {
    let Some((id, files)) = options.arguments.split_first().filter(|(_, files)| !files.is_empty())
    else {
        return Err(Failure::Usage("explain needs a request's id and log files".to_owned()));
    };
    let mut entries = Vec::new();
    for path in files {
        read(path, &mut entries).map_err(|cause| Failure::File { path: path.clone(), cause })?;
    }
    let trace = explain::trace(id, &entries);
    if trace.is_empty() {
        let detail = "give the files of all hosts; lines may have been dropped under load";
        return Err(Failure::Usage(format!("no line names the request {id}; {detail}")));
    }
    output::show(format, &trace, |trace| table(trace), out)
}

fn read(path: &str, entries: &mut Vec<explain::Entry>) -> io::Result<()> {
    for line in io::BufReader::new(fs::File::open(path)?).lines() {
        entries.extend(explain::Entry::parse(&line?));
    }
    Ok(())
}

fn table(trace: &[explain::Entry]) -> output::Table {
    let mut table = output::Table::new(&["TIME MS", "HOST", "EVENT", "DETAIL"]);
    for entry in trace {
        let time = entry.at_ms.to_string();
        table.add_row(&[time, entry.host.clone(), entry.event.clone(), entry.detail.clone()]);
    }
    table
}
