//! `testbed measure`

use testbed::measure;

/// Options of `testbed measure`.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "what to measure: config, intents, members, peers or scheduler")]
    subject: String,
    #[options(no_short, help = "sizes to measure at", meta = "N,N,...")]
    sizes: Option<String>,
    #[options(no_short, help = "seed of the runs", meta = "N", default = "1")]
    seed: u64,
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    match options.subject.as_str() {
        "config" => config(options),
        "endpoints" => endpoints(options),
        "intents" => intents(options.seed),
        "members" => members(options),
        "peers" => peers(options),
        "scheduler" => scheduler(options),
        other => {
            anyhow::bail!(
                "cannot measure `{other}`; name config, intents, members, peers or scheduler"
            )
        }
    }
}

fn members(options: &Options) -> anyhow::Result<()> {
    let sizes = sizes(options.sizes.as_deref().unwrap_or("8,64,512,1800"))?;
    println!("Cost for each daemon, in virtual time\n");
    println!("{}\n", measure::members::cost(&sizes, options.seed));
    println!("Spread of a configuration change, in virtual time\n");
    println!("{}\n", measure::members::spread(&sizes, options.seed));
    println!("Failures, in virtual time\n");
    println!("{}", measure::members::failure(&sizes, options.seed));
    Ok(())
}

fn peers(options: &Options) -> anyhow::Result<()> {
    let sizes = sizes(options.sizes.as_deref().unwrap_or("3,8,24"))?;
    println!("Membership of each daemon over real sockets\n");
    // The daemons bring their own threads.
    let table = tokio::task::block_in_place(|| measure::members::loopback(&sizes))?;
    println!("{table}\n");
    println!("One connection between two daemons, through a relay\n");
    let table = tokio::task::block_in_place(measure::members::connection)?;
    println!("{table}");
    Ok(())
}

fn config(options: &Options) -> anyhow::Result<()> {
    let sizes = sizes(options.sizes.as_deref().unwrap_or("5,100,1000,8800"))?;
    println!("Cost of the configuration, 600 changes each\n");
    println!("{}", measure::config::cost(&sizes)?);
    Ok(())
}

fn endpoints(options: &Options) -> anyhow::Result<()> {
    let sizes = sizes(options.sizes.as_deref().unwrap_or("8,32,128"))?;
    println!("Watching the endpoints of one shard, on one thread\n");
    // The endpoints and the watcher bring their own threads.
    let table = tokio::task::block_in_place(|| {
        std::thread::scope(|scope| scope.spawn(|| measure::endpoints::watch(&sizes)).join())
    });
    println!("{}\n", table.map_err(|_| anyhow::anyhow!("the measuring thread panicked"))??);
    println!("Reading the platform's list of hosts\n");
    println!("{}", measure::endpoints::list(&[740, 7_400])?);
    Ok(())
}

fn scheduler(options: &Options) -> anyhow::Result<()> {
    let sizes = sizes(options.sizes.as_deref().unwrap_or("4,8,16,32"))?;
    println!("Cost of a shard's scheduler\n");
    println!("{}", measure::scheduler::cost(&sizes, &[100, 1_000, 10_000]));
    Ok(())
}

/// Runs on a thread of its own, because each measurement brings its own runtimes.
fn intents(seed: u64) -> anyhow::Result<()> {
    let measured = std::thread::spawn(move || -> anyhow::Result<()> {
        println!("Bytes of a record\n");
        println!("{}\n", measure::intents::sizes(&[1, 10, 200])?);
        println!("8 daemons, a key-value service that takes 3 ms, calls of 1 ms one way\n");
        let windows = [5, 10, 15, 20, 50];
        let (buckets, rates) = ([1, 2, 4, 8], [10.0, 100.0, 1000.0]);
        println!("{}\n", measure::intents::window(&windows, &buckets, &rates, seed)?);
        println!("One owner of one bucket, the default window\n");
        let (rates, parts) = ([100.0, 500.0, 2000.0, 4000.0], [8 << 10, 16 << 10, 64 << 10]);
        println!("{}", measure::intents::owner(&rates, &parts, seed)?);
        Ok(())
    });
    measured.join().map_err(|_| anyhow::anyhow!("the measurement panicked"))?
}

fn sizes(text: &str) -> anyhow::Result<Vec<usize>> {
    let parse = |word: &str| Ok(word.trim().parse::<usize>()?);
    text.split(',').map(parse).collect()
}
