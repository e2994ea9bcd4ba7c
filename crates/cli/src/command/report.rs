//! `report`: shows from log files where goodput is lost.

use std::{fs, io, io::BufRead as _};

use crate::{failure::Failure, options, output, report};

/// Reads the files, shows the statistics and writes the chart if a path is given for it.
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
        return Err(Failure::Usage(format!("no line reports the end of a request; {remedy}")));
    }
    let statistics = report::statistics(&requests);
    if let Some(path) = &options.svg {
        let svg = report::svg(&statistics).map_err(|error| Failure::Usage(error.to_string()))?;
        fs::write(path, svg).map_err(|cause| Failure::File { path: path.clone(), cause })?;
    }
    output::show(format, &statistics, table, out)
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

fn table(statistics: &report::Statistics) -> output::Table {
    let header = [
        "BY", "WHICH", "OFFERED", "IN TIME", "LATE", "REFUSED", "AGAIN", "BROKEN", "FAILED",
        "REASONS",
    ];
    let mut table = output::Table::new(&header);
    let groupings = [
        ("second", &statistics.seconds),
        ("rank", &statistics.ranks),
        ("size", &statistics.sizes),
        ("speed", &statistics.speeds),
    ];
    for (by, groups) in groupings {
        for group in groups {
            table.add_row(&row(by, group));
        }
    }
    let distributions = [
        ("first event after its prediction, ms", &statistics.first_late),
        ("first event before its prediction, ms", &statistics.first_soon),
        ("length, hundredths of the expected", &statistics.length),
        ("waited for a place, ms", &statistics.waited),
        ("told to stay away, ms", &statistics.told),
        ("until there was room, ms", &statistics.free),
    ];
    for (name, quantiles) in distributions {
        let values = [
            ("p10", quantiles.p10),
            ("p50", quantiles.p50),
            ("p90", quantiles.p90),
            ("p99", quantiles.p99),
        ];
        let values: Vec<_> = values.iter().map(|(name, value)| format!("{name}={value}")).collect();
        let mut cells = vec!["spread".to_owned(), name.to_owned(), quantiles.count.to_string()];
        cells.resize(header.len() - 1, String::new());
        cells.push(values.join(" "));
        table.add_row(&cells);
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
