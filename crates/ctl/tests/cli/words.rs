//! Words and options that are wrong, and the help.

use fulmarpier_ctl::{
    Environment,
    Exit,
    run, //
};
use rstest::rstest;

use crate::{
    ctl,
    text, //
};

const GATE: &str = "http://127.0.0.1:1";

#[tokio::test]
async fn help_lists_commands_options_and_exit_codes() {
    insta::assert_snapshot!(text(&ctl(GATE, "--help").await), @r"
    exit 0
    --- stdout
    Asks a fulmarpier cell what runs, waits or was refused, and commands it

    Usage: fulmarpier-ctl [OPTIONS] <COMMAND>

    Commands:
      show         Lists what is running, waiting or refused
      explain      Says why a job waits or how it ended
      set          Makes or changes a team, a service, the weights, the policy or the limits
      remove       Removes a team or a service
      submit       Submits a job
      cancel       Cancels a job
      drain        Lets a worker or node run dry
      undrain      Takes a worker or node back into service
      quarantine   Keeps a suspect worker from new work
      release      Ends a quarantine
      check        Checks a settings file and lists all its mistakes
      completions  Prints the completions for a shell

    Options:
          --gate <URL>       The gates to ask, in this order [env: FULMARPIER_GATE]
          --token <TOKEN>    The operator's token; better given by the environment [env: FULMARPIER_TOKEN]
          --timeout <SPAN>   How long to wait for the answer [default: 30s]
      -o, --output <FORM>    The form of the answer [default: table] [possible values: table, json]
      -n, --dry-run          Says what a change would do, and does nothing
          --confirm <TOKEN>  The token of the dry run that is to be carried out
      -h, --help             Print help
      -V, --version          Print version

    Exit codes:
      0  answered or carried out
      1  refused; it had no effect
      2  the words or options can't be understood; nothing was sent
      3  no gate could be reached, or a question got no answer; nothing was changed
      4  the settings file is not valid
      5  the change needs the token that a dry run gives; it had no effect
      6  a change was sent, but no answer came; it may have taken effect

    docs/GRAMMAR.md describes the whole language.
    --- stderr
    ");
}

#[tokio::test]
async fn help_of_a_verb_shows_its_forms() {
    insta::assert_snapshot!(text(&ctl(GATE, "set --help").await), @r"
    exit 0
    --- stdout
    Makes or changes a team, a service, the weights, the policy or the limits

    Usage: fulmarpier-ctl set team NAME [cpu=64] [memory=128GiB] [accelerators=2] [weight=3] [queue=10000]
           fulmarpier-ctl set service NAME [slots=8] [queue=200] [deadline=2s] [team=NAME]
           fulmarpier-ctl set weight [waiting=0.6] [packing=0.3] [control=0.1]
           fulmarpier-ctl set policy [preemption=on|off] [backfill=on|off] [spread=any|racks|data-centres] [unknown_teams=on|off]
           fulmarpier-ctl set limit [body=8MiB] [tasks=10000] [queue=100000]

    Arguments:
      [WORDS]...  The words of the command

    Options:
          --gate <URL>       The gates to ask, in this order [env: FULMARPIER_GATE]
          --token <TOKEN>    The operator's token; better given by the environment [env: FULMARPIER_TOKEN]
          --timeout <SPAN>   How long to wait for the answer [default: 30s]
      -o, --output <FORM>    The form of the answer [default: table] [possible values: table, json]
      -n, --dry-run          Says what a change would do, and does nothing
          --confirm <TOKEN>  The token of the dry run that is to be carried out
      -h, --help             Print help
    --- stderr
    ");
}

#[rstest]
#[case::verb("shwo jobs", "a similar subcommand exists: 'show'")]
#[case::subject("show jbos", "did you mean `jobs`?")]
#[case::key("set team a wieght=2", "did you mean `weight`?")]
#[case::option("show jobs --dryrun", "a similar argument exists: '--dry-run'")]
#[case::form("show jobs -o xml", "[possible values: table, json]")]
#[case::both("drain node n1 --dry-run --confirm x", "cannot be used with")]
#[case::question_dry("show jobs --dry-run", "only with commands that change something")]
#[case::span("show jobs --timeout 5", "--timeout: unknown unit")]
#[case::gate("show jobs --gate 10.0.0.1:80", "--gate: expected an address")]
#[case::token("show jobs --token short", "--token: a token has at least 16")]
#[case::confirm("drain node n1 --confirm a&b", "--confirm: expected the token")]
#[case::no_words("set team", "expected the name of a team")]
#[tokio::test]
async fn mistake_is_named_and_nothing_is_sent(#[case] line: &str, #[case] expected: &str) {
    let report = ctl(GATE, line).await;
    assert_eq!(report.exit, Exit::Usage);
    assert!(report.stderr.contains(expected), "{}", report.stderr);
}

#[tokio::test]
async fn place_of_a_mistake_is_marked() {
    insta::assert_snapshot!(text(&ctl(GATE, "drain worker n2").await), @r"
    exit 2
    --- stdout
    --- stderr
    error: expected an id of the form `w<number>`, found `n2`
      drain worker n2
                   ^^
    ");
}

#[tokio::test]
async fn gate_and_token_have_to_come_from_somewhere() {
    let words = ["fulmarpier-ctl", "show", "jobs"].map(Into::into);
    let report = run(words.clone(), Environment::default()).await;
    insta::assert_snapshot!(text(&report), @r"
    exit 2
    --- stdout
    --- stderr
    error: no gate is named; give --gate URL or set FULMARPIER_GATE
    ");
    let gate = Some(GATE.to_owned());
    let report = run(words, Environment { gate, token: None }).await;
    insta::assert_snapshot!(text(&report), @r"
    exit 2
    --- stdout
    --- stderr
    error: there is no operator's token; set FULMARPIER_TOKEN or give --token TOKEN
    ");
}

#[rstest]
#[tokio::test]
async fn completions_know_the_verbs(
    #[values("bash", "zsh", "fish", "elvish", "powershell")] shell: &str,
) {
    let report = ctl(GATE, &format!("completions {shell}")).await;
    assert_eq!(report.exit, Exit::Success);
    assert!(report.stdout.contains("quarantine"));
}
