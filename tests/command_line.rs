//! Tests that run `bergamotspan`, the program for operators, as a process.

use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use bergamotspan::drain_report::DrainReport;
use bergamotspan::explain_report::{ExplainReport, ExplainStep};
use bergamotspan::finding::Finding;
use bergamotspan::fleet_report::FleetReport;
use bergamotspan::peer_links::PeerTraffic;
use bergamotspan::scheduler::{BackendServerReport, SchedulerReport};
use bergamotspan::status_report::{
    KeyStatus, PeerState, PeerStatus, PlatformStatus, RefusedDocument, RequestCounts, Standing,
    StatusReport,
};
use serde::Serialize;
use tempfile::TempDir;
use tiny_http::{Response, Server};

/// Address on which nothing listens.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";

const SETTINGS: &str = "\
[instance]
name = entry-1
data_centre = umea-a
[caller]
listen_address = 127.0.0.1:8080
[peer]
listen_address = 127.0.0.1:8081
[platform]
address = 127.0.0.1:7000
";

/// A fake instance with fixed answers.
struct FakeInstance {
    address: SocketAddr,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl FakeInstance {
    /// Serves `answers`, each with method and path, status and body; other requests get 404.
    fn start(answers: Vec<(&'static str, u16, String)>) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let address = server.server_addr().to_ip().unwrap();
        let listener = Arc::clone(&server);
        let thread = thread::spawn(move || {
            for request in listener.incoming_requests() {
                let call = format!("{} {}", request.method(), request.url());
                let answer = answers.iter().find(|(known, ..)| *known == call);
                let (status, body) = match answer {
                    Some((_, status, body)) => (*status, body.clone()),
                    None => (404, format!("No answer to '{call}'.")),
                };
                let _ = request.respond(Response::from_string(body).with_status_code(status));
            }
        });
        Self { address, server, thread: Some(thread) }
    }

    fn with_status(status: &StatusReport) -> Self {
        Self::start(vec![("GET /status", 200, json(status))])
    }

    fn address(&self) -> String {
        self.address.to_string()
    }
}

impl Drop for FakeInstance {
    fn drop(&mut self) {
        self.server.unblock();
        let _ = self.thread.take().unwrap().join();
    }
}

#[derive(Debug, Eq, PartialEq)]
struct ProgramOutput {
    code: i32,
    stderr: String,
    stdout: String,
}

fn run(arguments: &[&str]) -> ProgramOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_bergamotspan"))
        .args(arguments)
        .env("http_proxy", format!("http://{UNREACHABLE_ADDRESS}"))
        .output()
        .unwrap();
    ProgramOutput {
        code: output.status.code().unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
    }
}

fn program_output(code: i32, stdout: &str, stderr: &str) -> ProgramOutput {
    ProgramOutput { code, stderr: stderr.into(), stdout: stdout.into() }
}

fn example(name: &str) -> String {
    format!("{}/examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn json<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).unwrap()
}

fn write(directory: &TempDir, name: &str, text: &str) -> String {
    let file = directory.path().join(name);
    fs::write(&file, text).unwrap();
    file.to_str().unwrap().into()
}

fn norrland() -> String {
    fs::read_to_string(example("norrland.ini")).unwrap()
}

fn status() -> StatusReport {
    StatusReport {
        config_version: 7,
        data_centre: "umea-a".into(),
        incarnation: 255,
        instance: "entry-1".into(),
        keys: KeyStatus { capacity: 100, remembered: 3 },
        leaving: false,
        list_version: 2,
        peers: vec![peer("entry-2", UNREACHABLE_ADDRESS, PeerState::Live)],
        peer_traffic: PeerTraffic { received_bytes: 700, sent_bytes: 800 },
        platform: PlatformStatus { reachable: true, reads: 12 },
        quarantined: vec!["00000000000000ff".into()],
        ready: true,
        refused_document: Some(RefusedDocument {
            findings: vec![Finding {
                file: "version 8".into(),
                line: 3,
                message: "'weight' has no value.".into(),
            }],
            version: 8,
        }),
        requests: RequestCounts { running: 4, waiting: 5 },
        retired_version: 1,
        schedulers: vec![SchedulerReport {
            backend_servers: vec![BackendServerReport {
                limit_tokens: 4096,
                name: "engine-1".into(),
                running_requests: 2,
                running_tokens: 900,
                state: "in_use".into(),
            }],
            service: "plans".into(),
            waiting: vec![(0, 1), (2, 6)],
            ..SchedulerReport::default()
        }],
        standing: Standing { lawful: true, reason: None },
        stopping: false,
    }
}

fn peer(name: &str, address: &str, state: PeerState) -> PeerStatus {
    PeerStatus {
        caller_address: address.parse().unwrap(),
        config_version: 6,
        incarnation: 16,
        name: name.into(),
        state,
    }
}

#[test]
fn the_examples_have_no_findings() {
    for (name, verdict) in [
        ("entry-1-settings.ini", "settings of 'entry-1', fine."),
        ("norrland.ini", "inventory version 1, fine."),
        ("sierra-norte.ini", "inventory version 1, fine."),
    ] {
        let file = example(name);

        assert_eq!(run(&["check", &file]), program_output(0, &format!("{file}: {verdict}\n"), ""));
    }
}

#[test]
fn findings_are_printed_with_file_and_line() {
    let directory = TempDir::new().unwrap();
    let text = SETTINGS.replace("entry-1", "entry 1").replace("[peer]", "[per]");
    let file = write(&directory, "settings.ini", &text);

    let expected = format!(
        "{file}:0: Section '[peer]' is missing.\n\
         {file}:2: 'name' may contain only ASCII letters and digits, '-', '_' and '.', \
         not 'entry 1'.\n\
         {file}:6: Unknown section '[per]'; did you mean 'peer'?\n"
    );
    assert_eq!(run(&["check", &file]), program_output(1, &expected, ""));
}

#[test]
fn the_kind_option_overrides_the_guess() {
    let file = example("entry-1-settings.ini");

    let output = run(&["check", &file, "--kind", "inventory"]);

    assert_eq!(output.code, 1);
    assert!(output.stdout.starts_with(&format!("{file}:0: Section '[inventory]' is missing.\n")));
}

#[test]
fn a_document_of_unknown_kind_is_wrong_usage() {
    let directory = TempDir::new().unwrap();
    let file = write(&directory, "empty.ini", "");

    let stderr = format!(
        "{file} looks neither like an inventory nor like settings; specify the kind with \
         '--kind'.\n"
    );
    assert_eq!(run(&["check", &file]), program_output(2, "", &stderr));
}

#[test]
fn an_unknown_value_of_the_kind_option_is_wrong_usage() {
    let output = run(&["check", "x.ini", "--kind", "rules"]);

    assert_eq!(output.code, 2);
    assert!(output.stderr.contains("the kind is inventory or settings, not 'rules'"));
}

#[test]
fn a_missing_file_is_reported() {
    let stderr = "Reading /none/x.ini failed: No such file or directory (os error 2)\n";

    assert_eq!(run(&["check", "/none/x.ini"]), program_output(2, "", stderr));
}

#[test]
fn a_file_that_is_not_utf_8_is_reported() {
    let directory = TempDir::new().unwrap();
    let file = directory.path().join("x.ini");
    fs::write(&file, [0xff, 0xfe]).unwrap();
    let file = file.to_str().unwrap();

    let stderr = format!("Reading {file} failed: stream did not contain valid UTF-8\n");
    assert_eq!(run(&["check", file]), program_output(2, "", &stderr));
}

#[test]
fn a_successor_with_a_higher_version_is_valid() {
    let directory = TempDir::new().unwrap();
    let file = write(&directory, "new.ini", &norrland().replacen("version = 1", "version = 2", 1));

    let expected_output = program_output(0, &format!("{file}: inventory version 2, fine.\n"), "");
    assert_eq!(run(&["check", &file, "--against", &example("norrland.ini")]), expected_output);
}

#[test]
fn a_successor_with_the_same_version_is_found() {
    let file = example("norrland.ini");

    let text = format!("{file}:0: 'version' must rise above 1, but it is 1.\n");
    assert_eq!(run(&["check", &file, "--against", &file]), program_output(1, &text, ""));
}

#[test]
fn findings_of_both_inventories_are_printed() {
    let directory = TempDir::new().unwrap();
    let old = write(&directory, "old.ini", &norrland().replace("weight = 4", "weight = 0"));
    let new = write(&directory, "new.ini", &norrland().replace("rank = 1", "rank = 0"));

    let output = run(&["check", &new, "--against", &old]);

    assert_eq!(output.code, 1);
    assert_eq!(output.stdout.lines().count(), 2);
    assert!(output.stdout.contains("Tier 'working' has the same rank, 0, as tier 'waiting'."));
    assert!(output.stdout.contains("'weight' must be a whole number from 1 to 1000000, not '0'."));
}

#[test]
fn settings_cannot_be_checked_against_a_predecessor() {
    let file = example("entry-1-settings.ini");

    let expected = program_output(2, "", "'--against' is for an inventory, not for settings.\n");
    assert_eq!(run(&["check", &file, "--against", &file]), expected);
}

#[test]
fn status_shows_every_field() {
    let instance = FakeInstance::with_status(&status());

    let expected = "\
instance    entry-1 in umea-a
incarnation ff
state       ready
config      version 7
instances   version 2, retired 1
keys        3 of 100, lawful
platform    reachable, 12 reads
requests    5 waiting, 4 running
peer        entry-2 at 127.0.0.1:1: live, incarnation 10, config version 6
scheduler   plans, waiting: rank 0: 1, rank 2: 6
  server    engine-1: in_use, 2 requests, 900 of 4096 tokens
quarantined 00000000000000ff
refused     version 8
  version 8:3: 'weight' has no value.
";
    assert_eq!(run(&["status", "--address", &instance.address()]), program_output(0, expected, ""));
}

#[test]
fn status_shows_silent_peers_and_a_missing_majority() {
    let report = StatusReport {
        peers: vec![
            peer("entry-2", UNREACHABLE_ADDRESS, PeerState::Silent),
            peer("entry-3", UNREACHABLE_ADDRESS, PeerState::Stopping),
        ],
        standing: Standing { lawful: false, reason: Some("3 of 7 confirm".into()) },
        schedulers: vec![SchedulerReport { service: "plans".into(), ..SchedulerReport::default() }],
        ..StatusReport::default()
    };
    let instance = FakeInstance::with_status(&report);

    let expected = "\
instance     in \nincarnation 0
state       not ready
config      version 0
instances   version 0, retired 0
keys        0 of 0, not lawful: 3 of 7 confirm
platform    not reachable, 0 reads
requests    0 waiting, 0 running
peer        entry-2 at 127.0.0.1:1: silent, incarnation 10, config version 6
peer        entry-3 at 127.0.0.1:1: stopping, incarnation 10, config version 6
scheduler   plans, waiting: none
";
    assert_eq!(run(&["status", "--address", &instance.address()]), program_output(0, expected, ""));
}

#[test]
fn status_as_json_equals_the_report_of_the_instance() {
    let instance = FakeInstance::with_status(&status());

    let output = run(&["status", "--json", "--address", &instance.address()]);

    assert_eq!(serde_json::from_str::<StatusReport>(&output.stdout).unwrap(), status());
}

#[test]
fn explain_shows_the_steps() {
    let report = ExplainReport {
        request: "entry-1-ff-7".into(),
        state: "done".into(),
        steps: vec![
            ExplainStep { sentence: "Waits for a backend server of 'plans'.".into(), time_ms: 0 },
            ExplainStep { sentence: "Granted 'engine-1'.".into(), time_ms: 1250 },
        ],
    };
    let instance = FakeInstance::start(vec![("GET /explain/entry-1-ff-7", 200, json(&report))]);

    let expected = "\
request entry-1-ff-7: done
       +0 ms  Waits for a backend server of 'plans'.
    +1250 ms  Granted 'engine-1'.
";
    let expected_output = program_output(0, expected, "");
    assert_eq!(
        run(&["explain", "entry-1-ff-7", "--address", &instance.address()]),
        expected_output
    );
}

#[test]
fn explain_encodes_the_key() {
    let report = ExplainReport { request: "a/b ä".into(), ..ExplainReport::default() };
    let instance = FakeInstance::start(vec![("GET /explain/a%2Fb%20%C3%A4", 200, json(&report))]);

    let output = run(&["explain", "a/b ä", "--json", "--address", &instance.address()]);

    assert_eq!(serde_json::from_str::<ExplainReport>(&output.stdout).unwrap(), report);
}

#[test]
fn explain_of_an_unknown_request_is_refused() {
    let instance =
        FakeInstance::start(vec![("GET /explain/x", 404, "Unknown request 'x'.\n".into())]);
    let address = instance.address();

    let stderr = format!("{address} refused with HTTP status 404: Unknown request 'x'.\n");
    assert_eq!(run(&["explain", "x", "--address", &address]), program_output(1, "", &stderr));
}

#[test]
fn drain_posts_and_prints_the_remaining_requests() {
    let report = DrainReport {
        instance: "entry-1".into(),
        requests: RequestCounts { running: 2, waiting: 1 },
    };
    let instance = FakeInstance::start(vec![("POST /drain", 200, json(&report))]);
    let address = instance.address();

    let text = "entry-1 stops after 2 running requests; 1 were waiting.\n";
    assert_eq!(run(&["drain", "--address", &address]), program_output(0, text, ""));
    let as_json = run(&["drain", "--json", "--address", &address]);
    assert_eq!(serde_json::from_str::<DrainReport>(&as_json.stdout).unwrap(), report);
}

#[test]
fn fleet_queries_every_instance() {
    let second = StatusReport {
        instance: "entry-0".into(),
        peers: vec![peer("entry-1", UNREACHABLE_ADDRESS, PeerState::Live)],
        stopping: true,
        refused_document: None,
        ..status()
    };
    let second_instance = FakeInstance::with_status(&second);
    let first = StatusReport {
        peers: vec![peer("entry-0", &second_instance.address(), PeerState::Live)],
        ..status()
    };
    let first_instance = FakeInstance::with_status(&first);

    let expected = "\
entry-0: stopping, config version 7, instances version 2, sees 1 of 1 peers live, lawful
entry-1: ready, config version 7, refused version 8, instances version 2, \
         sees 1 of 1 peers live, lawful
";
    let address = first_instance.address();
    assert_eq!(run(&["fleet", "--address", &address]), program_output(0, expected, ""));
}

#[test]
fn fleet_shows_the_others_if_one_is_unreachable() {
    let instance = FakeInstance::with_status(&status());

    let output = run(&["fleet", "--address", &instance.address()]);

    assert_eq!(output.code, 3);
    let lines: Vec<&str> = output.stdout.lines().collect();
    assert!(lines[0].starts_with("entry-1: ready, config version 7"));
    assert!(lines[1].starts_with("entry-2: 127.0.0.1:1 can't be reached: "));
}

#[test]
fn fleet_as_json_has_the_error_of_an_unreachable_instance() {
    let instance = FakeInstance::with_status(&status());

    let output = run(&["fleet", "--json", "--address", &instance.address()]);

    let report: FleetReport = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(report.instances[0].status, Some(status()));
    assert_eq!(report.instances[1].status, None);
    assert!(report.instances[1].error.as_ref().unwrap().contains("can't be reached"));
}

#[test]
fn an_unreachable_instance_is_reported() {
    for arguments in [&["status"][..], &["drain"], &["fleet"], &["explain", "x"]] {
        let output = run(&[arguments, &["--address", UNREACHABLE_ADDRESS]].concat());

        assert_eq!((output.code, output.stdout.as_str()), (3, ""));
        assert!(output.stderr.starts_with("127.0.0.1:1 can't be reached: "), "{}", output.stderr);
    }
}

#[test]
fn an_unreadable_answer_is_reported() {
    let instance = FakeInstance::start(vec![("GET /status", 200, "[]".into())]);
    let address = instance.address();

    let output = run(&["status", "--address", &address]);

    assert_eq!(output.code, 3);
    assert!(output.stderr.starts_with(&format!("The answer of {address} can't be read: ")));
}

#[test]
fn help_names_the_exit_codes() {
    let output = run(&["--help"]);

    assert_eq!((output.code, output.stderr.as_str()), (0, ""));
    assert!(
        output.stdout.contains("0 success, 1 findings or refused, 2 wrong usage"),
        "{}",
        output.stdout
    );
}

#[test]
fn wrong_usage_has_its_own_exit_code() {
    assert_eq!(run(&[]).code, 2);
    assert_eq!(run(&["start"]).code, 2);
    assert_eq!(run(&["status"]).code, 2);
    assert_eq!(run(&["status", "--address", "localhost"]).code, 2);
}
