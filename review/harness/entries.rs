//! The entries: the project's own program, as separate processes.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use crate::http::Connection;
use crate::world::{note, now, sleep};

/// Figures of a machine and of the bounds, as in the sites' settings.
pub struct Machine {
    pub cpu_share: f64,
}

/// One entry.
pub struct Entry {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    /// The rendered settings, with `SEEDS` in the place of the seeds.
    text: String,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

/// All entries of a run. Dropping it ends their processes and removes their folder.
pub struct Entries {
    pub list: Vec<Entry>,
    folder: PathBuf,
    program: PathBuf,
}

impl Entries {
    /// Renders the settings template of `deploy/` and starts the program that the deploy file
    /// names, once for each machine. The first three machines are the seeds.
    pub fn start(machines: &[Machine], store: SocketAddr) -> Result<Self, String> {
        Self::start_with_seeds(machines, store, None)
    }

    /// Like [`Self::start`], with other seeds if there are any.
    pub fn start_with_seeds(
        machines: &[Machine],
        store: SocketAddr,
        seeds: Option<&[SocketAddr]>,
    ) -> Result<Self, String> {
        let root = std::env::var("REPOSITORY").map_err(|_| "REPOSITORY is not set".to_owned())?;
        let root = PathBuf::from(root);
        let read = |name: &str| {
            let text = std::fs::read_to_string(root.join(name));
            text.map_err(|error| format!("cannot read {name}: {error}"))
        };
        let deploy = read("deploy/system.toml")?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let run =
            run.and_then(|line| line.strip_suffix('"')).ok_or("no command in the deploy file")?;
        let program = root.join(run);
        if !program.exists() {
            return Err(format!("{run} is not built"));
        }
        let template = read("deploy/entry.yaml")?;
        let folder = std::env::temp_dir().join(format!("zinniaport-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let addresses: Vec<[SocketAddr; 3]> = (0..machines.len())
            .map(|number| free_addresses(number as u8 + 1))
            .collect::<Result<_, _>>()?;
        let mut list = Vec::new();
        for (number, (machine, [front, ready, control])) in
            machines.iter().zip(&addresses).enumerate()
        {
            let values = [
                ("Node|json", format!("\"front-{}\"", number + 1)),
                ("Zone|json", format!("\"zone-{}\"", ["a", "b", "c"][number % 3])),
                ("Listen.Front|json", format!("\"{front}\"")),
                ("Listen.Ready|json", format!("\"{ready}\"")),
                ("Listen.Control|json", format!("\"{control}\"")),
                ("Platform.Address|json", format!("\"{store}\"")),
                ("Bounds.BudgetExtraRetries", "58".to_owned()),
                ("Limits.CpuShare", machine.cpu_share.to_string()),
                ("Bounds.ProbesPerS", "60".to_owned()),
                ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
            ];
            let settings = folder.join(format!("entry-{}.yaml", number + 1));
            let text = render(&template, &values, "SEEDS");
            list.push(Entry {
                front: *front,
                ready: *ready,
                control: *control,
                settings,
                text,
                log: folder.join(format!("entry-{}.log", number + 1)),
                process: Mutex::new(None),
            });
        }
        let entries = Self { list, folder, program };
        match seeds {
            Some(seeds) => entries.write_settings(seeds)?,
            None => entries.write_settings(&entries.seeds())?,
        }
        for number in 0..entries.list.len() {
            entries.spawn(number)?;
        }
        Ok(entries)
    }

    /// Returns the control addresses of the first three machines.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.list.iter().take(3).map(|entry| entry.control).collect()
    }

    /// Writes the settings files of all machines.
    pub fn write_settings(&self, seeds: &[SocketAddr]) -> Result<(), String> {
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        note(&format!("the settings of all machines name the seeds {seeds}"));
        for entry in &self.list {
            let text = entry.text.replace("SEEDS", &seeds);
            std::fs::write(&entry.settings, text).map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    /// Starts the process of an entry.
    pub fn spawn(&self, number: usize) -> Result<(), String> {
        let entry = &self.list[number];
        let log = File::options().create(true).append(true).open(&entry.log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(&self.program)
            .env("ZINNIAPORT_BOOT", &entry.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| error.to_string())?;
        note(&format!("entry {} starts as process {} at {}", number + 1, child.id(), entry.front));
        *entry.process.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Waits until all entries report that they are ready.
    pub fn wait_ready(&self, limit: f64) -> Result<(), String> {
        let end = now() + limit;
        while !self.list.iter().all(Entry::is_ready) {
            if now() > end {
                return Err("the entries do not become ready".to_owned());
            }
            sleep(0.05);
        }
        note("all entries are ready");
        Ok(())
    }

    /// Kills the process of an entry.
    pub fn kill(&self, number: usize) {
        if let Some(mut child) = self.list[number].process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            note(&format!("entry {} was killed", number + 1));
        }
    }

    /// Sends a signal to an entry, such as `STOP` or `CONT`.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(child) = self.list[number].process.lock().unwrap().as_ref() {
            let id = child.id().to_string();
            let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
            crate::world::log(&format!("entry {} got SIG{signal}", number + 1));
        }
    }

    /// Returns `true` if the process of an entry has ended.
    pub fn has_ended(&self, number: usize) -> bool {
        let mut process = self.list[number].process.lock().unwrap();
        process.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns the number of processes that have ended by themselves.
    pub fn ended(&self) -> usize {
        let ended = |entry: &&Entry| {
            let mut process = entry.process.lock().unwrap();
            process.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        self.list.iter().filter(ended).count()
    }

    /// Returns the lines of an entry's log that contain `text`.
    pub fn log_lines(&self, number: usize, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.list[number].log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Entries {
    fn drop(&mut self) {
        for entry in &self.list {
            if let Some(mut child) = entry.process.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_ok() {
            println!("kept {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Entry {
    /// Asks the entry whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, limit) else { return false };
        let _ = stream.set_read_timeout(Some(limit));
        let mut connection = Connection::new(stream);
        let request = b"GET /readyz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n";
        std::io::Write::write_all(&mut connection.stream, request).is_ok()
            && connection.read().is_some_and(|answer| answer.status() == 200)
    }
}

/// Returns three addresses with free ports on a loopback address of the machine.
fn free_addresses(machine: u8) -> Result<[SocketAddr; 3], String> {
    let bind = || TcpListener::bind((std::net::Ipv4Addr::new(127, 0, 1, machine), 0));
    let listeners = [bind(), bind(), bind()];
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); 3];
    for (address, listener) in addresses.iter_mut().zip(listeners) {
        let listener = listener.map_err(|error| error.to_string())?;
        *address = listener.local_addr().map_err(|error| error.to_string())?;
    }
    Ok(addresses)
}

/// Renders the template with the placeholders that it uses.
fn render(template: &str, values: &[(&str, String)], seeds: &str) -> String {
    let seed_section = "{{#Seeds}}{{.|json}}{{,}}{{/Seeds}}";
    let mut text = template.replace(seed_section, seeds);
    for (name, value) in values {
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        while let Some(start) = text.find(&open) {
            let Some(end) = text[start..].find(&close).map(|end| start + end) else { break };
            let inner = text[start + open.len()..end].replace("{{.}}", value);
            text.replace_range(start..end + close.len(), &inner);
        }
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}
