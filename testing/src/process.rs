//! Child processes of tests, which run binaries of the workspace and are signalled by
//! process id.

use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

/// Time after which a hung child fails the test, so that it does not hang the test suite.
const CHILD_TIMEOUT: Duration = Duration::from_secs(60);

/// A running binary of the workspace, whose standard output can be read line by line.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    /// Lines of standard output; `None` if it is not piped or was taken.
    lines: Option<Lines<BufReader<ChildStdout>>>,
}

impl ChildProcess {
    /// Starts `program` with `arguments`, pipes its standard output and discards its
    /// standard error. The child is killed when dropped.
    ///
    /// # Panics
    ///
    /// Panics when the program cannot be started.
    pub fn start<A: AsRef<std::ffi::OsStr>>(
        program: impl AsRef<Path>,
        arguments: impl IntoIterator<Item = A>,
    ) -> Self {
        Self::start_with_output(program, arguments, Stdio::piped(), Stdio::null())
    }

    /// Starts `program` with `arguments` and the given standard output and standard error.
    /// The child is killed when dropped.
    ///
    /// # Panics
    ///
    /// Panics when the program cannot be started.
    pub fn start_with_output<A: AsRef<std::ffi::OsStr>>(
        program: impl AsRef<Path>,
        arguments: impl IntoIterator<Item = A>,
        output: Stdio,
        errors: Stdio,
    ) -> Self {
        let mut child = Command::new(program.as_ref())
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .expect("the binary is built by cargo before its tests");
        let lines = child.stdout.take().map(|output| BufReader::new(output).lines());
        Self { child, lines }
    }

    /// Takes the lines of standard output that have not been read yet. Returns `None` if
    /// standard output is not piped or was already taken.
    pub fn take_lines(&mut self) -> Option<Lines<BufReader<ChildStdout>>> {
        self.lines.take()
    }

    /// Returns the exit status of the child, or `None` while it runs.
    ///
    /// # Panics
    ///
    /// Panics when the child cannot be waited for.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the child can be waited for")
    }

    /// Reads lines until one starts with `prefix` and returns the rest of that line.
    ///
    /// # Panics
    ///
    /// Panics when the child ends, or a minute passes, without such a line.
    pub async fn wait_for_line(&mut self, prefix: &str) -> String {
        let search = async {
            let lines = self.lines.as_mut().expect("standard output is piped");
            while let Some(line) = lines.next_line().await.expect("output is UTF-8") {
                if let Some(rest) = line.strip_prefix(prefix) {
                    return rest.trim().to_owned();
                }
            }
            panic!("the child ended before it printed {prefix:?}");
        };
        timeout(CHILD_TIMEOUT, search)
            .await
            .expect("the child prints the expected line within a minute")
    }

    /// Returns the process id of the child.
    ///
    /// # Panics
    ///
    /// Panics when the child has already been waited for.
    pub fn id(&self) -> u32 {
        self.child.id().expect("the child is running")
    }

    /// Sends `signal` to the child.
    ///
    /// # Panics
    ///
    /// Panics when the child has already been waited for.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.id().cast_signed()).expect("a process id is positive");
        kill_process(pid, signal).expect("the child can be signalled");
    }

    /// Waits for the child to end.
    ///
    /// # Panics
    ///
    /// Panics when it does not end within a minute.
    pub async fn wait(&mut self) -> ExitStatus {
        timeout(CHILD_TIMEOUT, self.child.wait())
            .await
            .expect("the child ends within a minute")
            .expect("the child can be waited for")
    }
}

pub use rustix::process::Signal as ChildSignal;
