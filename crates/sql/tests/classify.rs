//! Classification of SQL texts. A read may be executed on a replica, so a text with side effects
//! must never count as a read.

use tamarackbend_sql::{Class, classify};

fn lines(texts: &[&str]) -> String {
    let line = |text: &&str| format!("{:?} <- {text}", classify(text).class);
    texts.iter().map(line).collect::<Vec<_>>().join("\n")
}

#[test]
fn only_sure_reads_are_reads() {
    insta::assert_snapshot!(lines(&[
        "",
        "SELECT 1",
        "select title from book where id = $1 order by title limit 3",
        "SELECT count(*), max(seen) FROM cabinet GROUP BY town",
        "WITH recent AS (SELECT * FROM swap) SELECT * FROM recent",
        "SELECT * FROM lease FOR UPDATE",
        "SELECT * FROM (SELECT * FROM lease FOR SHARE) AS held",
        "SELECT nextval('lease_id')",
        "SELECT pg_advisory_lock(1)",
        "SELECT my_function(id) FROM lease",
        "SELECT * FROM setval('lease_id', 9)",
        "SELECT * FROM generate_series(1, 3)",
        "SELECT * FROM ROWS FROM (setval('lease_id', 9))",
        "SELECT * FROM LATERAL setval('lease_id', 9)",
        "SELECT 1 WHERE EXISTS (SELECT setval('lease_id', 9))",
        "SELECT * INTO copy FROM lease",
        "WITH gone AS (DELETE FROM lease RETURNING *) SELECT * FROM gone",
        "INSERT INTO lease VALUES (1)",
        "not sql at all",
        "SELECT 1; SELECT 2",
        "SELECT 1; DELETE FROM lease",
        "VALUES (1), (2)",
    ]));
}

#[test]
fn transactions_and_session_state_are_told_apart() {
    insta::assert_snapshot!(lines(&[
        "BEGIN",
        "BEGIN READ ONLY",
        "START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY",
        "COMMIT",
        "ROLLBACK",
        "ROLLBACK TO SAVEPOINT a",
        "SET tamarackbend.max_age = '5s'",
        "SET search_path TO club",
        "SET LOCAL statement_timeout = 5",
        "SHOW tamarackbend.max_age",
        "CREATE TEMP TABLE scratch (id INTEGER)",
        "LISTEN news",
        "PREPARE a AS SELECT 1",
        "COPY lease FROM STDIN",
        "SELECT 1; SET search_path TO club",
    ]));
}

#[test]
fn hint_comment_sets_max_age() {
    let classification = classify("/* tamarackbend.max_age=5s */ SELECT 1");
    assert_eq!(classification.class, Class::Read);
    assert_eq!(classification.max_age, Some(std::time::Duration::from_secs(5)));
}
