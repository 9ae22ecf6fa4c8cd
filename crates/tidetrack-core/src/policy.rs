//! Policy programs: short Rhai scripts that name the models to try.
//!
//! A program sees `req` (`workspace`, `route`, `tags`, `prompt_chars`, `priority`) and `load` (a map
//! from model to its share of busy slots). It gives back a model's name, an array of names (a
//! cascade, cheapest rung first), or a map `#{ rungs: [..], accept: 0.7 }` whose `accept` is the score
//! at which a rung's answer is good enough. Steps are limited, so no program can hold a thread.

use rhai::{Array, Dynamic, Engine, Map, Scope, AST};

use crate::codes::Code;
use crate::config::{Policy, PolicyCase};
use crate::errors::{Error, Result};
use crate::ids::ModelId;

/// Most rungs of a cascade.
pub const MAX_RUNGS: usize = 4;

/// What a policy may look at.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Features {
    /// The workspace.
    pub workspace: String,
    /// The route.
    pub route: String,
    /// The request's tags.
    pub tags: Vec<String>,
    /// Characters of the prompt.
    pub prompt_chars: i64,
    /// The request's priority; higher is more urgent.
    pub priority: i64,
}

/// What a policy decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Models to try in order.
    pub rungs: Vec<ModelId>,
    /// Score at which a rung's answer is good enough to stop.
    pub accept: Option<f64>,
}

/// A compiled policy.
#[derive(Debug)]
pub struct Program {
    engine: Engine,
    ast: AST,
}

impl Program {
    /// Compiles a policy's program.
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

    /// Runs the program.
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
    let rungs =
        map.get("rungs").cloned().ok_or_else(|| policy_error("the map has no `rungs`".into()))?;
    let accept = match map.get("accept") {
        None => None,
        Some(x) => {
            Some(x.as_float().map_err(|t| policy_error(format!("`accept` is {t}, not a float")))?)
        }
    };
    Ok(Plan { rungs: parse_rungs(rungs)?, accept })
}

fn parse_rungs(value: Dynamic) -> Result<Vec<ModelId>> {
    let names = match value.read_lock::<Array>().map(|a| a.clone()) {
        Some(array) => array,
        None => vec![value],
    };
    if names.is_empty() || names.len() > MAX_RUNGS {
        return Err(policy_error(format!("{} rungs; 1 to {MAX_RUNGS} are taken", names.len())));
    }
    names.into_iter().map(parse_model).collect()
}

fn parse_model(name: Dynamic) -> Result<ModelId> {
    let name =
        name.into_string().map_err(|t| policy_error(format!("a rung is {t}, not a name")))?;
    name.parse()
}

/// Checks a policy: it compiles, its cases come out as declared and name only known models.
pub fn check(policy: &Policy, is_model: &dyn Fn(&ModelId) -> bool) -> Vec<String> {
    let program = match Program::compile(policy) {
        Ok(program) => program,
        Err(e) => return vec![e.message],
    };
    let mut problems = Vec::new();
    if policy.fallback.is_empty() {
        problems.push("has no fallback".to_string());
    }
    for (i, case) in policy.cases.iter().enumerate() {
        match program.decide(&features_of(case), &[]) {
            Err(e) => problems.push(format!("case {i}: {}", e.message)),
            Ok(plan) if plan.rungs != case.expect => {
                problems.push(format!("case {i}: chose {:?}, not {:?}", plan.rungs, case.expect));
            }
            Ok(plan) => {
                let unknown_models = plan.rungs.iter().filter(|m| !is_model(m));
                problems.extend(unknown_models.map(|m| format!("case {i}: no model named {m}")));
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
            fallback: vec!["small".parse().expect("a model")],
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
        assert_eq!(decide(source, &tagged).expect("a plan").rungs.len(), 1);
        let plan = decide(source, &Features::default()).expect("a plan");
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
