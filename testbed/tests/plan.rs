//! Errors in fault plans.

use testbed::plan::Plan;

const GOOD: &str = "seed = 1\nnodes = 3\nworkers = 2\nrate = 5.0\nquota = 5.0\nlength_s = 3\n";

#[test]
fn invalid_fault_plan_is_reported_by_its_line() {
    assert!(Plan::parse(GOOD).is_ok());
    for (more, line) in [
        ("[[fault]]\nat_s = 1\nwhat = \"kill\"\nnodes = [3]", 7),
        ("[[fault]]\nat_s = 4\nwhat = \"kill\"\nnodes = [0]", 7),
        ("[[fault]]\nat_s = 1\nwhat = \"hang\"", 9),
        ("[[fault]]\nat_s = 1\nwhat = \"link\"\nrule = { loss = 2.0 }", 7),
        ("[[fault]]\nat_s = 1\nwhat = \"link\"\nrule = { los = 0.2 }", 10),
    ] {
        let bad = Plan::parse(&format!("{GOOD}{more}")).expect_err(more);
        assert_eq!(bad.line(), line, "{more}: {bad}");
    }
}
