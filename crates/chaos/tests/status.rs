//! What the drill reads from the words of the program under test.

use nickelflow_chaos::agreement::in_force;

#[test]
fn what_status_prints_is_read() {
    let said = "voter 1 (n0, 0.1.0): acts on 2.7, 900 ms of its lease left\n  voter 1 leads\n  in force 2.7, proposal 3 is the newest, 0 steps to come; T 1011 ms\n";
    assert_eq!(in_force(said), Some(("2.7".to_owned(), 3, 0)));
    assert_eq!(in_force("voter 1: not reached"), None);
}
