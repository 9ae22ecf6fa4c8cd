//! Policy programs: short Rhai scripts that select the models to try.
//!
//! A program reads `req` (`workspace`, `route`, `tags`, `prompt_chars`, `priority`) and `load` (a
//! map from each model to its share of busy slots). It returns the name of a model, an array of
//! names (a cascade, cheapest rung first), or a map `#{ rungs: [..], accept: 0.7 }` whose `accept`
//! is the score at which a rung's response is good enough. A rung is one model of a cascade. The
//! number of operations is limited, so that no program can block a thread.

use rhai::{Array, Dynamic, Engine, Map, Scope, AST};

use crate::codes::Code;
use crate::config::{Policy, PolicyCase};
use crate::errors::{Error, Result};
use crate::ids::ModelId;

/// Largest number of rungs in a cascade.
pub const MAX_RUNGS: usize = 4;

/// Properties of a request that a policy can use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Features {
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the route.
    pub route: String,
    /// Tags of the request.
    pub tags: Vec<String>,
    /// Length of the prompt in characters.
    pub prompt_chars: i64,
    /// Priority of the request; higher is more urgent.
    pub priority: i64,
}

/// Result of a policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Models to try, in this order.
    pub rungs: Vec<ModelId>,
    /// Score at which a rung's response is good enough, so that no further rung is tried; `None` if
    /// the policy sets none.
    pub accept: Option<f64>,
}

/// A compiled policy program.
#[derive(Debug)]
pub struct Program {
    engine: Engine,
    ast: AST,
}

impl Program {
    /// Compiles a policy's program and sets its resource limits. Returns an error if the program is
    /// not valid.
    pub fn compile(policy: &Policy) -> Result<Program> {
        let mut engine = Engine::new();
        engine.set_max_operations(policy.max_steps);
        engine.set_max_call_levels(8);
        engine.set_max_string_size(64 * 1024);
        engine.set_max_array_size(1024);
        engine.set_max_map_size(1024);
        engine.disable_symbol("import");
        engine.on_print(|_| {});
        engine.on_debug(|_, _, _| {});
        let ast = engine.compile(&policy.program).map_err(|e| policy_error(e.to_string()))?;
        Ok(Program { engine, ast })
    }

    /// Runs the program. `load` is the share of busy slots of each model. Returns an error if the
    /// program fails, exceeds a limit or returns an invalid result.
    pub fn decide(&self, features: &Features, load: &[(ModelId, f64)]) -> Result<Plan> {
        let mut scope = Scope::new();
        scope.push("req", features_map(features));
        let load = load.iter().map(|(m, x)| (m.as_str().into(), Dynamic::from(*x)));
        scope.push("load", load.collect::<Map>());
        let output = self.engine.eval_ast_with_scope::<Dynamic>(&mut scope, &self.ast);
        parse_plan(output.map_err(|e| policy_error(e.to_string()))?)
    }
}

fn policy_error(message: String) -> Error {
    Error::new(Code::BadPolicy, message)
}

fn features_map(features: &Features) -> Map {
    let mut map = Map::new();
    map.insert("workspace".into(), features.workspace.clone().into());
    map.insert("route".into(), features.route.clone().into());
    let tags: Array = features.tags.iter().map(|t| Dynamic::from(t.clone())).collect();
    map.insert("tags".into(), tags.into());
    map.insert("prompt_chars".into(), features.prompt_chars.into());
    map.insert("priority".into(), features.priority.into());
    map
}

fn parse_plan(output: Dynamic) -> Result<Plan> {
    let Some(map) = output.read_lock::<Map>().map(|m| m.clone()) else {
        return Ok(Plan { rungs: parse_rungs(output)?, accept: None });
    };
    let rungs = map
        .get("rungs")
        .cloned()
        .ok_or_else(|| policy_error("the returned map has no `rungs`".into()))?;
    let accept = match map.get("accept") {
        None => None,
        Some(x) => Some(
            x.as_float()
                .map_err(|t| policy_error(format!("`accept` has type {t}, expected a float")))?,
        ),
    };
    Ok(Plan { rungs: parse_rungs(rungs)?, accept })
}

fn parse_rungs(value: Dynamic) -> Result<Vec<ModelId>> {
    let names = match value.read_lock::<Array>().map(|a| a.clone()) {
        Some(array) => array,
        None => vec![value],
    };
    if names.is_empty() || names.len() > MAX_RUNGS {
        return Err(policy_error(format!(
            "the program returned {} rungs, expected 1 to {MAX_RUNGS}",
            names.len()
        )));
    }
    names.into_iter().map(parse_model).collect()
}

fn parse_model(name: Dynamic) -> Result<ModelId> {
    let name = name
        .into_string()
        .map_err(|t| policy_error(format!("a rung has type {t}, expected the name of a model")))?;
    name.parse()
}

/// Checks that a policy compiles, has a fallback, and that its cases return the expected rungs and
/// only known models. Returns a description of each problem.
pub fn check(policy: &Policy, is_model: &dyn Fn(&ModelId) -> bool) -> Vec<String> {
    let program = match Program::compile(policy) {
        Ok(program) => program,
        Err(e) => return vec![e.message],
    };
    let mut problems = Vec::new();
    if policy.fallback.is_empty() {
        problems.push("has no fallback models".to_string());
    }
    for (i, case) in policy.cases.iter().enumerate() {
        match program.decide(&features_of(case), &[]) {
            Err(e) => problems.push(format!("case {i}: {}", e.message)),
            Ok(plan) if plan.rungs != case.expect => {
                problems.push(format!(
                    "case {i}: returned {:?}, expected {:?}",
                    plan.rungs, case.expect
                ));
            }
            Ok(plan) => {
                let unknown_models = plan.rungs.iter().filter(|m| !is_model(m));
                problems.extend(unknown_models.map(|m| format!("case {i}: unknown model {m}")));
            }
        }
    }
    problems
}

fn features_of(case: &PolicyCase) -> Features {
    Features {
        workspace: case.workspace.clone(),
        tags: case.tags.clone(),
        prompt_chars: case.prompt_chars,
        ..Features::default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::Mode;

    fn policy(program: &str) -> Policy {
        Policy {
            program: program.into(),
            mode: Mode::Full,
            fallback: vec!["small".parse().expect("the model name parses")],
            max_steps: 2_000,
            deadline_ms: 1_000,
            cases: vec![],
        }
    }

    fn decide(program: &str, features: &Features) -> Result<Plan> {
        Program::compile(&policy(program))?.decide(features, &[])
    }

    #[test]
    fn a_program_reads_the_request() {
        let source = r#"if "tag" in req.tags { "small" } else { #{rungs: ["small", "strong"], accept: 0.7} }"#;
        let tagged = Features { tags: vec!["tag".into()], ..Features::default() };
        assert_eq!(decide(source, &tagged).expect("the policy returns a plan").rungs.len(), 1);
        let plan = decide(source, &Features::default()).expect("the policy returns a plan");
        assert_eq!((plan.rungs.len(), plan.accept), (2, Some(0.7)));
    }

    #[test]
    fn invalid_programs_are_rejected() {
        for source in ["loop {}", "1 / 0", "[]", "#{}", "req.nothing.at.all", "fn f() { f() } f()"]
        {
            let err = decide(source, &Features::default()).expect_err(source);
            assert!(matches!(err.code, Code::BadPolicy | Code::BadValue), "{source}: {err}");
        }
    }
}
