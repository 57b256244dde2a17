//! Several processes of the program after losses: disks that stand still, are spoilt, older or empty, and links
//! between them that are cut or silent.

mod common;
use common::desk::*;
use common::link::{Does, Link};
use common::*;

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Command;
use std::time::Instant;

use nettleferry_net::grpc::Code;
use serde_json::{Value, json};

/// A port that is free now, on an address that no other test has.
fn place(host: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{host}:0")).expect("a port");
    listener.local_addr().expect("bound")
}

fn takes(program: &Program, tenant: &str) -> Code {
    code(&mut Caller::new(program.address), Some(tenant), "echo").0
}

/// An administration and two controllers that follow it, each of which can be killed and started again.
struct Rig {
    fleet: Fleet,
    host: String,
    token: String,
    keys: String,
    key: String,
    api: SocketAddr,
    /// What followers are told is the administration.
    through: SocketAddr,
    windows: Vec<SocketAddr>,
}

impl Rig {
    fn new(host: &str) -> Self {
        let (token, line) = key("ada", "admin");
        let (key, fleet_line) = key("fleet", "controller");
        let api = place(host);
        let windows = (0..2).map(|_| place(host)).collect();
        let keys = format!("{line} {fleet_line}");
        Self {
            fleet: Fleet::new(1, SPEC),
            host: host.to_owned(),
            token,
            keys,
            key,
            api,
            through: api,
            windows,
        }
    }

    fn dir(&self) -> tempfile::TempDir {
        let dir = tempfile::tempdir().expect("a folder");
        std::fs::write(dir.path().join("workers.sexp"), self.fleet.list()).expect("written");
        std::fs::write(dir.path().join("key"), &self.key).expect("written");
        dir
    }

    fn peers(&self, but: Option<usize>) -> String {
        let all = self.windows.iter().enumerate().filter(|(n, _)| Some(*n) != but);
        all.map(|(_, at)| format!("(peer \"{at}\")")).collect()
    }

    fn administration(&self, dir: tempfile::TempDir, peers: bool) -> Desk {
        let peers =
            if peers { format!("{} (peer-key-file \"key\")", self.peers(None)) } else { String::new() };
        let admin =
            format!("(admin (listen \"{}\") (store \"tenants.redb\") {} {peers})", self.api, self.keys);
        let program = serve_in(dir, &format!("{SETTINGS}{admin}(controller (number 0) (of 3))"), None);
        assert_eq!(program.line("listening admin "), self.api);
        Desk { program, http: Http { api: self.api, token: self.token.clone() } }
    }

    /// The follower of this number, from 0.
    fn follower(&self, dir: tempfile::TempDir, number: usize) -> Program {
        let admin = format!(
            "(admin (follow \"{}\") (key-file \"key\") (kept \"kept.json\") (listen \"{}\") {} {})",
            self.through,
            self.windows[number],
            self.keys,
            self.peers(Some(number))
        );
        let settings = format!("{SETTINGS}{admin}(controller (number {}) (of 3))", number + 1);
        serve_in(dir, &settings, None)
    }

    fn followers(&self) -> Vec<Program> {
        (0..2).map(|n| self.follower(self.dir(), n)).collect()
    }

    /// An administration with peers, its followers, and these tenants in force everywhere and kept.
    fn begun(&self, tenants: &[Value]) -> (Desk, Vec<Program>) {
        let desk = self.administration(self.dir(), true);
        let followers = self.followers();
        eventually("nobody holds any book: the first may be made", || step(&self.http()).0 == "serving");
        tenants.iter().for_each(|tenant| desk.create(tenant.clone()));
        let last = tenants.last().and_then(|t| t["name"].as_str()).expect("a tenant with a name");
        for program in &followers {
            eventually("it follows", || takes(program, last) == Code::Ok);
            kept(program, tenants.len() as u64);
        }
        (desk, followers)
    }

    /// Followers that lost power and have what they kept.
    fn lost_power(&self, followers: Vec<Program>) -> Vec<tempfile::TempDir> {
        followers.into_iter().map(|p| self.again(p, &["kept.json"])).collect()
    }

    /// And are back.
    fn back(&self, dirs: Vec<tempfile::TempDir>) -> Vec<Program> {
        dirs.into_iter().enumerate().map(|(n, dir)| self.follower(dir, n)).collect()
    }

    /// The folder of one that was killed, with what is named.
    fn again(&self, program: Program, files: &[&str]) -> tempfile::TempDir {
        program.signal("KILL");
        let dir = self.dir();
        // What is told of leases is on a disk that stands.
        let lease = program.dir.path().join("tenants.lease");
        if lease.exists() {
            std::fs::copy(lease, dir.path().join("tenants.lease")).expect("copied");
        }
        for name in files {
            std::fs::copy(program.dir.path().join(name), dir.path().join(name)).expect("copied");
        }
        dir
    }

    fn http(&self) -> Http {
        Http { api: self.api, token: self.token.clone() }
    }
}

/// Each follower has synced what is in force: its kept file, read by a program that starts from it, would have it.
fn kept(program: &Program, revision: u64) {
    let file = program.dir.path().join("kept.json");
    let mark = format!("\"revision\":{revision}");
    eventually("it is kept", || std::fs::read_to_string(&file).is_ok_and(|text| text.contains(&mark)));
}

fn step(http: &Http) -> (Value, Value) {
    let told = http.get("/v1/fleet");
    (told["step"].clone(), told["cause"].clone())
}

fn fifo(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().expect("mkfifo runs").success());
}

#[test]
fn a_disk_that_stands_still_holds_up_no_call() {
    let mut fleet = Fleet::new(2, SPEC);
    let dir = tempfile::tempdir().expect("a folder");
    // The kept list is written to a pipe that nobody reads: whoever opens it waits for ever.
    fifo(&dir.path().join("kept.sexp.new"));
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    let settings = SETTINGS.replace("(check-every 5ms)", "(check-every 5ms) (kept \"kept.sexp\")");
    let program = serve_in(dir, &settings, None);
    let mut caller = Caller::new(program.address);
    for round in 0..20 {
        // Each is to be kept; the first stands, and the last alone would follow.
        let drained = if round % 2 == 0 { "(state draining)" } else { "" };
        let list = fleet.list().replacen("))", &format!(") {drained})"), 1);
        program.write_list(&list);
        let begun = Instant::now();
        let all: Vec<u64> = (0..20).map(|_| caller.unary("echo-brief")).collect();
        for rpc in all {
            let (status, _) = caller.status(rpc);
            assert_eq!(
                status.code,
                Code::Ok,
                "round {round}, after {:?}: {}",
                begun.elapsed(),
                status.message
            );
        }
    }
    // The list is followed all the same: with its first worker draining, the second alone gets what is new.
    program.write_list(&fleet.list().replacen("))", ") (state draining))", 1));
    eventually("the drained worker gets nothing new", || {
        let before = fleet.handles[0].name.clone();
        let seen = |fleet: &mut Fleet| fleet.look().iter().filter(|r| r.worker == before).count();
        let start = seen(&mut fleet);
        for _ in 0..5 {
            let rpc = caller.unary("echo");
            assert_eq!(caller.status(rpc).0.code, Code::Ok);
        }
        seen(&mut fleet) == start
    });
}

#[test]
fn one_bad_disk_does_not_empty_the_fleet_and_the_fleet_makes_it_good() {
    let rig = Rig::new("127.0.7.1");
    let (desk, followers) = rig.begun(&[json!({"name": "kalahari"}), json!({"name": "morava"})]);
    // Power is lost everywhere; the store and its snapshot are spoilt.
    let dir = rig.again(desk.program, &[]);
    std::fs::write(dir.path().join("tenants.redb"), vec![7; 20_000]).expect("written");
    let dirs = rig.lost_power(followers);
    let desk = rig.administration(dir, true);
    assert_eq!(step(&desk), (json!("waiting"), json!("damaged")));
    let refused = desk.ask("POST", "/v1/tenants", "", "{\"name\":\"new\"}");
    assert_eq!(refused.0, 503, "{}", refused.1);
    let (given, told) = desk.ask("GET", "/v1/snapshot", "", "");
    assert_eq!(given, 503, "an empty book is not given: {told}");
    // Its own clients are refused, and not denied: nobody knows who they are.
    assert_eq!(
        code(&mut Caller::new(desk.program.address), Some("kalahari"), "echo").0,
        Code::ResourceExhausted
    );
    let followers = rig.back(dirs);
    for program in &followers {
        assert_eq!(takes(program, "kalahari"), Code::Ok, "from the first call on");
    }
    eventually("the administration has caught up", || step(&desk).0 == "serving");
    assert_eq!(desk.get("/v1/tenants")["tenants"].as_array().map(Vec::len), Some(2));
    assert_eq!(code(&mut Caller::new(desk.program.address), Some("kalahari"), "echo").0, Code::Ok);
    desk.change("POST", "/v1/tenants/kalahari/suspend", "");
    for program in &followers {
        eventually("changes flow again", || takes(program, "kalahari") == Code::PermissionDenied);
    }
    // What was taken over is durable.
    let dir = rig.again(desk.program, &["tenants.redb"]);
    let desk = rig.administration(dir, true);
    eventually("it serves what it took over", || step(&desk).0 == "serving");
    assert_eq!(desk.get("/v1/tenants/kalahari")["state"], "suspended");
}

#[test]
fn a_store_that_comes_back_older_undoes_no_acknowledged_change() {
    let rig = Rig::new("127.0.7.2");
    let (desk, followers) = rig.begun(&[json!({"name": "kalahari"})]);
    // The disk as it was before the suspension: taken from a store at rest.
    let older = rig.again(desk.program, &["tenants.redb"]);
    let now = rig.dir();
    std::fs::copy(older.path().join("tenants.redb"), now.path().join("tenants.redb")).expect("copied");
    let desk = rig.administration(now, true);
    desk.change("POST", "/v1/tenants/kalahari/suspend", "");
    for program in &followers {
        eventually("it is suspended", || takes(program, "kalahari") == Code::PermissionDenied);
        kept(program, 2);
    }
    desk.program.signal("KILL");
    drop(desk);
    let dirs = rig.lost_power(followers);
    let desk = rig.administration(older, true);
    let followers = rig.back(dirs);
    eventually("the administration has what its followers hold", || {
        assert!(
            followers.iter().all(|p| takes(p, "kalahari") == Code::PermissionDenied),
            "never served again"
        );
        step(&desk).0 == "serving" && desk.get("/v1/tenants/kalahari")["state"] == "suspended"
    });
    assert_eq!(
        code(&mut Caller::new(desk.program.address), Some("kalahari"), "echo").0,
        Code::PermissionDenied
    );
    let Desk { mut program, .. } = desk;
    program.signal("TERM");
    assert!(program.wait().success());
    let log = program.log();
    let line = log.lines().find(|l| l.contains("it is open which book stands"));
    assert!(line.is_some_and(|l| l.contains("behind")), "a book that went back is told of: {log}");
    assert!(log.contains("a book was taken over"), "{log}");
}

#[test]
fn a_follower_without_a_book_has_it_from_its_peers_while_the_administration_is_silent() {
    let mut rig = Rig::new("127.0.7.3");
    let link = Link::to(rig.api, &format!("{}:0", rig.host));
    rig.through = link.address;
    let desk = rig.administration(rig.dir(), false);
    desk.create(json!({"name": "kalahari"}));
    let mut followers = rig.followers();
    for program in &followers {
        eventually("it follows", || takes(program, "kalahari") == Code::Ok);
        kept(program, 1);
    }
    for does in [Does::Silent, Does::AsksOnly, Does::Cut] {
        link.set(does);
        // Its disk is lost; the other one stands.
        let dir = rig.again(followers.remove(0), &[]);
        std::fs::write(dir.path().join("kept.json"), "").expect("an empty file");
        followers.insert(0, rig.follower(dir, 0));
        assert_eq!(
            takes(&followers[0], "kalahari"),
            Code::ResourceExhausted,
            "refused, not denied, until it knows"
        );
        eventually("it has the book of its peer", || takes(&followers[0], "kalahari") == Code::Ok);
        assert_eq!(takes(&followers[0], "nobody"), Code::PermissionDenied);
        kept(&followers[0], 1);
    }
    link.set(Does::Passes);
    desk.create(json!({"name": "later"}));
    for program in &followers {
        eventually("the administration is followed again", || takes(program, "later") == Code::Ok);
    }
}

#[test]
fn two_books_of_one_revision_are_left_to_an_operator() {
    let rig = Rig::new("127.0.7.4");
    let (desk, followers) =
        rig.begun(&[json!({"name": "kalahari"}), json!({"name": "morava", "note": "as it was"})]);
    let dir = rig.again(desk.program, &[]);
    let dirs = rig.lost_power(followers);
    // One of them is forged: its text was changed, and its seal taken off as an earlier version would leave it.
    let file = dirs[1].path().join("kept.json");
    let text = std::fs::read_to_string(&file).expect("text");
    let (_, json) = text.split_once('\n').expect("a head");
    std::fs::write(&file, json.replace("as it was", "as forged")).expect("written");
    let desk = rig.administration(dir, true);
    let followers = rig.back(dirs);
    eventually("it is open which book stands", || step(&desk) == (json!("waiting"), json!("disagreed")));
    assert!(followers.iter().all(|p| takes(p, "kalahari") == Code::Ok), "both go on with what they hold");
    let run = |words: &[&str]| {
        let mut command = Command::new(PROGRAM);
        command.args(["fleet", "--api", &rig.api.to_string()]).args(words).env("NETTLEFERRY_KEY", &rig.token);
        let out = command.output().expect("it runs");
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr),
        )
    };
    let (done, told) = run(&["status"]);
    assert!(done == Some(0) && told.contains("waiting (disagreed)"), "{told}");
    eventually("both have given theirs", || {
        ["1", "2"].iter().all(|n| run(&["recover", "--take", n]).0 == Some(0))
    });
    let (done, told) = run(&["recover", "--take", "1"]);
    assert!(
        done == Some(0) && told.contains("nothing was done") && told.contains("morava would be another"),
        "{told}"
    );
    assert_eq!(step(&desk).0, "waiting");
    let (done, told) = run(&["recover", "--take", "1", "--yes"]);
    assert!(done == Some(0) && told.contains("stands now"), "{told}");
    eventually("the word of the operator stands", || step(&desk).0 == "serving");
    assert_eq!(desk.get("/v1/tenants/morava")["note"], "as it was");
    desk.change("POST", "/v1/tenants/morava/suspend", "");
    for program in &followers {
        eventually("both follow it", || takes(program, "morava") == Code::PermissionDenied);
    }
    let (done, told) = run(&["recover", "--take", "9", "--yes"]);
    assert!(done == Some(1) && told.contains("has given no book"), "{told}");
}
