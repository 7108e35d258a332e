//! Mistakes with their place and the word that was probably meant.

use fulmarpier_protocol::{
    problem::Problem,
    query::{
        Command,
        Mistake, //
    },
};
use fulmarpier_state::refusal::{
    Outcome,
    Reason, //
};

/// Gives every line with what is wrong with it.
fn mistakes(lines: &[&str]) -> String {
    let explain = |line: &&str| match line.parse::<Command>() {
        Ok(command) => format!("accepted: {command}"),
        Err(error) => error.to_string(),
    };
    let all: Vec<_> = lines.iter().map(explain).collect();
    all.join("\n\n")
}

#[test]
fn words_out_of_place() {
    let lines = [
        "",
        "shwo jobs",
        "show job",
        "show jobs wher state=waiting",
        "show jobs where state=waiting or cpu=2",
        "show jobs limit 5 where state=waiting",
        "explain 17",
        "drain w17",
        "set quota desk cpu=1",
        "frobnicate",
    ];
    insta::assert_snapshot!(mistakes(&lines), @r"
    expected `show`, `explain`, `set`, `remove`, `submit`, `cancel`, `drain`, `undrain`, `quarantine` or `release`

    expected `show`, `explain`, `set`, `remove`, `submit`, `cancel`, `drain`, `undrain`, `quarantine` or `release`, found `shwo`; did you mean `show`?
      shwo jobs
      ^^^^

    expected `jobs`, `tasks`, `workers`, `nodes`, `shards`, `services`, `teams`, `refusals`, `config` or `queue`, found `job`; did you mean `jobs`?
      show job
           ^^^

    expected `where` or `limit`, found `wher`; did you mean `where`?
      show jobs wher state=waiting
                ^^^^

    expected `and` or `limit`, found `or`
      show jobs where state=waiting or cpu=2
                                    ^^

    the command ends before this
      show jobs limit 5 where state=waiting
                        ^^^^^

    expected `job`, found `17`
      explain 17
              ^^

    expected `worker` or `node`, found `w17`
      drain w17
            ^^^

    expected `team`, `service`, `weight`, `policy` or `limit`, found `quota`
      set quota desk cpu=1
          ^^^^^

    expected `show`, `explain`, `set`, `remove`, `submit`, `cancel`, `drain`, `undrain`, `quarantine` or `release`, found `frobnicate`
      frobnicate
      ^^^^^^^^^^
    ");
}

#[test]
fn values_that_are_not_acceptable() {
    let lines = [
        "show jobs limit 0",
        "explain job 17",
        "drain worker n2",
        "drain worker w99999999999",
        "set team Desk",
        "set team desk memory=128GB",
        "set team desk weight=many",
        "set weight waiting=0.1234",
        "set policy preemption=yes",
        "set policy spread=wide",
        "submit batch team=a cpu=1 memory=1GiB tasks=100001 program=x",
        "submit batch team=a cpu=1 memory=1GiB priority=high program=x",
        "submit service name=a team=a cpu=1 memory=1GiB slots=0 program=x",
    ];
    insta::assert_snapshot!(mistakes(&lines), @r"
    expected a whole number in range, found `0`
      show jobs limit 0
                      ^

    expected a UUID (for a task: `uuid/index`), found `17`
      explain job 17
                  ^^

    expected an id of the form `w<number>`, found `n2`
      drain worker n2
                   ^^

    expected a number in range behind `w`, found `w99999999999`
      drain worker w99999999999
                   ^^^^^^^^^^^^

    a name holds only a-z, 0-9, `-`, `_` and `.`, found `D` in `Desk`
      set team Desk
               ^^^^

    unknown unit `GB`; known are B, KiB, MiB, GiB, TiB
      set team desk memory=128GB
                           ^^^^^

    expected a whole number in range, found `many`
      set team desk weight=many
                           ^^^^

    expected a decimal from 0 to 65 with at most 3 digits behind the point, found `0.1234`
      set weight waiting=0.1234
                         ^^^^^^

    expected `on` or `off`, found `yes`
      set policy preemption=yes
                            ^^^

    expected `any`, `racks` or `data-centres`, found `wide`
      set policy spread=wide
                        ^^^^

    expected 1 to 100000, found 100001
      submit batch team=a cpu=1 memory=1GiB tasks=100001 program=x
                                                  ^^^^^^

    expected `low`, `normal` or `urgent`, found `high`
      submit batch team=a cpu=1 memory=1GiB priority=high program=x
                                                     ^^^^

    expected 1 to 65535, found 0
      submit service name=a team=a cpu=1 memory=1GiB slots=0 program=x
                                                           ^
    ");
}

#[test]
fn pairs_that_are_missing_unknown_or_repeated() {
    let lines = [
        "show jobs where state",
        "show jobs where state contain wait",
        "show jobs where state=",
        "set team",
        "set team desk wieght=3",
        "set team desk cpu=1 cpu=2",
        "set team desk cpu",
        "set team desk cpu>1",
        "set weight",
        "submit batch team=a cpu=1 program=x",
        "submit service team=a cpu=1 memory=1GiB program=x",
        "submit batch name=a",
    ];
    insta::assert_snapshot!(mistakes(&lines), @r"
    expected `=`, `!=`, `<`, `>`, `<=`, `>=`, `~` or the word for one
      show jobs where state
                            ^

    expected `eq`, `ne`, `lt`, `gt`, `le`, `ge` or `contains`, found `contain`; did you mean `contains`?
      show jobs where state contain wait
                            ^^^^^^^

    expected a value to compare with
      show jobs where state=
                             ^

    expected the name of a team
      set team
               ^

    expected `cpu`, `memory`, `accelerators`, `weight` or `queue`, found `wieght`; did you mean `weight`?
      set team desk wieght=3
                    ^^^^^^

    `cpu` stands twice
      set team desk cpu=1 cpu=2
                          ^^^

    expected `=` and a value behind `cpu`
      set team desk cpu
                        ^

    expected `=` and a value behind `cpu`
      set team desk cpu>1
                       ^

    expected at least one of waiting=…, packing=…, control=…
      set weight
                 ^

    expected memory=…
      submit batch team=a cpu=1 program=x
                                          ^

    expected name=…
      submit service team=a cpu=1 memory=1GiB program=x
                                                        ^

    expected `id`, `team`, `cpu`, `memory`, `accelerators`, `tasks`, `priority`, `runtime`, `deadline`, `idempotent`, `checkpoint`, `spread`, `program` or `arg`, found `name`
      submit batch name=a
                   ^^^^
    ");
}

#[test]
fn characters_and_quotes() {
    let lines = [
        "show jobs where state = \"wait",
        "show jobs \\",
        "show jobs where name = \u{1}",
        "show jobs where Pāvilosta ! 3",
    ];
    insta::assert_snapshot!(mistakes(&lines), @r#"
    the quote is not closed
      show jobs where state = "wait
                              ^^^^^

    unexpected character '\\'
      show jobs \
                ^

    unexpected character '\u{1}'
      show jobs where name = �
                             ^

    unexpected character '!'
      show jobs where Pāvilosta ! 3
                                ^
    "#);
}

#[test]
fn line_that_is_too_long_is_refused_and_not_repeated() {
    let line = "show jobs ".repeat(2_000);
    let error = line.parse::<Command>().expect_err("the line is too long");
    assert!(matches!(error.mistake, Mistake::Long { len: 20_000, .. }));
    assert!(error.to_string().len() < 100);
}

#[test]
fn mistake_becomes_a_problem_with_the_word_as_its_hint() {
    let error = "shwo jobs".parse::<Command>().expect_err("a typo");
    let problem = Problem::from(&error);
    assert_eq!(problem.reason, Reason::Command);
    assert_eq!(problem.outcome, Outcome::NotRun);
    assert_eq!(problem.hint.as_deref(), Some("did you mean `show`?"));
}
