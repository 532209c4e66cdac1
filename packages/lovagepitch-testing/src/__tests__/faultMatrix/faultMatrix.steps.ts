import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { configurationSteps } from "./configurationSteps.js";
import { matrixFaults } from "./faults.js";
import { MatrixRun } from "./matrixRun.js";
import { processSteps } from "./processSteps.js";
import { requestSteps } from "./requestSteps.js";
import { specialCases } from "./specialCases.js";

const seeds = [1, 2, 3];
const stepsThatEndTheJob = ["the job is being cancelled", "the deadline passes"];
const matrixSteps = { ...requestSteps, ...processSteps, ...configurationSteps };

interface Finding {
    readonly title: string;
    readonly problems: readonly string[];
    readonly trace: string;
}

let findings: Finding[] = [];

function runWithFaults(seed: number, step: string, faults: readonly string[]): void {
    const run = new MatrixRun(seed);
    run.agentIndex = (seed - 1) % 3;
    const runToStep = matrixSteps[step];
    assert.ok(runToStep, `no step is named "${step}"`);
    const continueAfterFaults = runToStep(run);
    let mustComplete = !stepsThatEndTheJob.includes(step);
    let maximumDelayMilliseconds = 0;
    for (const name of faults) {
        const fault = matrixFaults[name];
        assert.ok(fault, `no fault is named "${name}"`);
        maximumDelayMilliseconds += fault.maximumDelayMilliseconds;
        mustComplete &&= fault.mustComplete;
        fault.inject(run);
    }
    run.maximumDelayMilliseconds = maximumDelayMilliseconds;
    // Two consecutive periods without messages can exceed the time after which an unresponsive worker counts as lost.
    mustComplete &&= faults.length === 1 || maximumDelayMilliseconds === 0;
    continueAfterFaults?.();
    run.settle();
    const problems = [...run.collectProblems()];
    if (mustComplete && !run.isComplete()) {
        problems.push(`the job was not completed: ${JSON.stringify(run.caller?.result)}`);
    }
    if (problems.length > 0) {
        findings.push({ title: `${faults.join(" and ")} while ${step}, seed ${seed}`, problems, trace: run.traceText });
    }
}

When("the fault {string} occurs while {string}", (fault: string, step: string) => {
    findings = [];
    for (const seed of seeds) {
        runWithFaults(seed, step, [fault]);
    }
});

When(
    "the fault {string} is paired with itself and with each later fault while {string}",
    { timeout: 120_000 },
    (fault: string, step: string) => {
        findings = [];
        const names = Object.keys(matrixFaults);
        for (const other of names.slice(names.indexOf(fault))) {
            runWithFaults(1, step, [fault, other]);
        }
    },
);

When("the special case {string} runs", (name: string) => {
    findings = [];
    const createSpecialRun = specialCases[name];
    assert.ok(createSpecialRun, `no special case is named "${name}"`);
    for (const seed of seeds) {
        const run = createSpecialRun(seed);
        run.settle();
        const problems = run.collectProblems();
        if (problems.length > 0) {
            findings.push({ title: `${name}, seed ${seed}`, problems, trace: run.traceText });
        }
    }
});

Then("every caller of the matrix has its final answer and no rule is violated", () => {
    const shown = findings.map(finding => `${finding.title}\n  ${finding.problems.slice(0, 4).join("\n  ")}`);
    if (process.env["MATRIX_TRACE"] !== undefined && findings[0] !== undefined) {
        console.error(findings[0].title, findings[0].problems, findings[0].trace);
    }
    assert.equal(findings.length, 0, `${findings.length} runs failed\n${shown.slice(0, 6).join("\n")}`);
});
