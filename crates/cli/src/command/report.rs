//! `report`: shows from log files where goodput is lost.

use std::{fs, io, io::BufRead as _};

use crate::{failure::Failure, options, output, report};

/// Reads the files, shows the figures and draws the picture if one is wanted.
pub(crate) fn execute(
    options: &options::Report,
    format: output::Format,
    out: &mut dyn io::Write,
) -> Result<(), Failure> {
    if options.files.is_empty() {
        return Err(Failure::Usage("report needs the log files of all hosts".to_owned()));
    }
    let mut requests = report::Requests::default();
    for path in &options.files {
        read(path, &mut requests).map_err(|cause| Failure::File { path: path.clone(), cause })?;
    }
    let requests = requests.finish();
    if requests.is_empty() {
        let remedy = "give the files that gateways' standard output was kept in";
        return Err(Failure::Usage(format!("no line tells of a request that has ended; {remedy}")));
    }
    let figures = report::figures(&requests);
    if let Some(path) = &options.svg {
        let svg = report::svg(&figures).map_err(|error| Failure::Usage(error.to_string()))?;
        fs::write(path, svg).map_err(|cause| Failure::File { path: path.clone(), cause })?;
    }
    output::show(format, &figures, table, out)
}

fn read(path: &str, requests: &mut report::Requests) -> io::Result<()> {
    let mut lines = io::BufReader::new(fs::File::open(path)?);
    let mut text = String::new();
    while lines.read_line(&mut text)? > 0 {
        if let Some(line) = report::Line::parse(&text) {
            requests.add(line);
        }
        text.clear();
    }
    Ok(())
}

fn table(figures: &report::Figures) -> output::Table {
    let head = [
        "BY", "WHICH", "OFFERED", "IN TIME", "LATE", "REFUSED", "AGAIN", "BROKEN", "FAILED",
        "REASONS",
    ];
    let mut table = output::Table::new(&head);
    let parts = [
        ("second", &figures.seconds),
        ("rank", &figures.ranks),
        ("size", &figures.sizes),
        ("speed", &figures.speeds),
    ];
    for (by, groups) in parts {
        for group in groups {
            table.row(&row(by, group));
        }
    }
    let spreads = [
        ("first event after its prediction, ms", &figures.first_late),
        ("first event before its prediction, ms", &figures.first_soon),
        ("length, hundredths of the expected", &figures.length),
        ("waited for a place, ms", &figures.waited),
        ("told to stay away, ms", &figures.told),
        ("until there was room, ms", &figures.free),
    ];
    for (name, spread) in spreads {
        let at =
            [("p10", spread.p10), ("p50", spread.p50), ("p90", spread.p90), ("p99", spread.p99)];
        let at: Vec<_> = at.iter().map(|(name, value)| format!("{name}={value}")).collect();
        let mut cells = vec!["spread".to_owned(), name.to_owned(), spread.count.to_string()];
        cells.resize(head.len() - 1, String::new());
        cells.push(at.join(" "));
        table.row(&cells);
    }
    table
}

fn row(by: &str, group: &report::Group) -> Vec<String> {
    let tally = &group.tally;
    let counts = [
        tally.offered,
        tally.in_time,
        tally.late,
        tally.refused,
        tally.refused_again,
        tally.broken,
        tally.failed,
    ];
    let reasons: Vec<_> =
        tally.reasons.iter().map(|(reason, count)| format!("{reason}={count}")).collect();
    let mut cells = vec![by.to_owned(), group.name.clone()];
    cells.extend(counts.iter().map(ToString::to_string));
    cells.push(reasons.join(" "));
    cells
}
