//! Guards against errors in the incremental updates of the owner table. The table must equal
//! rendezvous hashing over all pairs of node and database, and the loss of a node must move only
//! the databases of that node.

use arbtest::arbtest;
use tamarackbend_policy::ownership::{Candidate, Table, choose_owner};

const DATABASES: usize = 60;

fn candidate(index: usize) -> Candidate {
    Candidate { vm: format!("entry-{index}"), failure_domain: format!("domain-{}", index % 4) }
}

fn databases() -> Vec<(String, Option<String>)> {
    let name = |n: usize| (format!("database-{n}"), Some(format!("domain-{}", n % 5)));
    (0..DATABASES).map(name).collect()
}

#[test]
fn table_equals_full_rendezvous_hashing_after_any_changes() {
    for seed in 0..40u64 {
        arbtest(|u| {
            let mut table = Table::new();
            table.set_databases(databases().into_iter());
            for _ in 0..u.int_in_range(1..=12)? {
                let mut nodes = Vec::new();
                for index in 0..20 {
                    if u.ratio(2, 3)? {
                        nodes.push(candidate(index));
                    }
                }
                table.set_candidates(nodes.clone());
                for (name, preferred) in databases() {
                    let expected = choose_owner(&name, nodes.iter(), preferred.as_deref());
                    assert_eq!(table.owner(&name), expected.map(|candidate| &candidate.vm));
                }
            }
            Ok(())
        })
        .seed((seed << 32) | 1024);
    }
}

#[test]
fn removed_node_moves_only_its_own_databases() {
    let nodes: Vec<Candidate> = (0..20).map(candidate).collect();
    let mut table = Table::new();
    table.set_databases(databases().into_iter());
    table.set_candidates(nodes.clone());
    let before = table.clone();
    table.set_candidates(nodes[1..].to_vec());
    for (name, owner) in before.owners() {
        if owner != Some(&nodes[0].vm) {
            assert_eq!(table.owner(name), owner, "{name} keeps its owner");
        }
    }
}
