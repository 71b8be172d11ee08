//! Reads the CPU time and memory of a process from `/proc`.

use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`, which are fixed on Linux.
const TICKS_PER_SECOND: u64 = 100;

pub struct Usage {
    pub cpu: Duration,
    pub resident_bytes: u64,
}

pub fn read(pid: u32) -> eyre::Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    // These are fields 14 and 15 of the file, user and system time. The first two fields, PID and
    // name, are not part of `fields`.
    let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = kilobytes.unwrap_or("0").parse()?;
    Ok(Usage {
        cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
        resident_bytes: kilobytes * 1_024,
    })
}
