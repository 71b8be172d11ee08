//! Processor time and memory of a process, from `/proc`.

use std::time::Duration;

/// Clock ticks a second in `/proc/PID/stat`; fixed on Linux.
const TICKS: u64 = 100;

pub struct Usage {
    pub cpu: Duration,
    pub resident: u64,
}

pub fn read(pid: u32) -> eyre::Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after.split_whitespace().collect();
    // Fields 14 and 15 of the file; the first two were cut off.
    let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = kilobytes.unwrap_or("0").parse()?;
    Ok(Usage {
        cpu: Duration::from_millis(ticks * 1_000 / TICKS),
        resident: kilobytes * 1_024,
    })
}
