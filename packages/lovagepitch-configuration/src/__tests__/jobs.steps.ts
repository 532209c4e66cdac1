import { Then, When } from "@cucumber/cucumber";
import type { JobRequest } from "@lovagepitch/types/job";
import type { Problem } from "@lovagepitch/types/problem";
import type { Result } from "@lovagepitch/utils/result";
import fc from "fast-check";
import assert from "node:assert/strict";
import { defaultJobLimits } from "../jobLimits.js";
import { loadManifest } from "../loadManifest.js";
import { validateJob } from "../validateJob.js";
import { validateManifest } from "../validateManifest.js";
import { manifestText, sampleJob } from "./configurationSamples.js";

let outcome: Result<JobRequest, Problem>;

function replaceAtPath(target: unknown, path: readonly string[], value: unknown): unknown {
    const [step, ...rest] = path;
    if (step === undefined) {
        return value;
    }
    if (Array.isArray(target)) {
        return target.map((item: unknown, index) => index === Number(step) ? replaceAtPath(item, rest, value) : item);
    }
    const fields = target as Readonly<Record<string, unknown>>;
    return { ...fields, [step]: replaceAtPath(fields[step], rest, value) };
}

function checkJob(result: Result<JobRequest, Problem>): void {
    if (result.err) {
        assert.equal(result.val.execution, "not-run");
        assert.ok(result.val.status >= 400 && result.val.status < 500);
        assert.ok(result.val.remedy.length > 0);
        return;
    }
    const job = result.val;
    assert.equal(typeof job.team, "string");
    assert.equal(typeof job.idempotent, "boolean");
    assert.ok(job.deadlineMilliseconds > 0);
    assert.ok(job.tasks.length >= 1 && job.tasks.length <= defaultJobLimits.maximumTasks);
    assert.ok(job.tasks.every(task => task.payload !== undefined && task.cores >= 0));
}

When("the sample job is validated", () => {
    outcome = validateJob(sampleJob);
});

Then("the job is accepted and its idempotent flag is false", () => {
    assert.equal(outcome.unwrap().idempotent, false);
});

When(/^the sample job is validated with "(.*)" set to (.*)$/, (path: string, value: string) => {
    outcome = validateJob(replaceAtPath(sampleJob, path.split("."), JSON.parse(value)));
});

Then(
    "the job is refused as {string} with status {int}, not run, naming {string}",
    (kind: string, status: number, name: string) => {
        assert.ok(outcome.err, "the job was accepted");
        assert.equal(outcome.val.kind, kind);
        assert.equal(outcome.val.status, status);
        assert.equal(outcome.val.execution, "not-run");
        assert.ok(outcome.val.detail.includes(`${name}:`), outcome.val.detail);
        assert.ok(outcome.val.remedy.length > 0);
    },
);

When(
    "the sample job is validated with {int} tasks, payloads nested {int} levels and of {int} characters",
    (tasks: number, depth: number, bytes: number) => {
        let payload: unknown = "x".repeat(bytes);
        for (let level = 0; level < depth; level += 1) {
            payload = [payload];
        }
        const task = { ...sampleJob.tasks[0], payload };
        outcome = validateJob({ ...sampleJob, tasks: Array.from({ length: tasks }, () => task) });
    },
);

Then("the outcome of the job's validation is {string}", (expected: string) => {
    assert.equal(outcome.ok ? "accepted" : outcome.val.kind, expected);
});

Then(
    "validating {int} values drawn with seed {int} never throws and accepts only jobs",
    (numRuns: number, seed: number) => {
        const values = fc.anything({ withBigInt: true, withDate: true, withMap: true, withNullPrototype: true });
        fc.assert(fc.property(values, value => checkJob(validateJob(value))), { numRuns, seed });
    },
);

Then(
    "validating {int} changed jobs drawn with seed {int} never throws and accepts only jobs",
    (numRuns: number, seed: number) => {
        const paths = fc.constantFrom(
            ["team"],
            ["tasks"],
            ["tasks", "0"],
            ["tasks", "0", "payload"],
            ["tasks", "0", "cores"],
            ["deadlineMilliseconds"],
            ["idempotent"],
            ["__proto__"],
            ["tasks", "0", "__proto__"],
        );
        const property = fc.property(paths, fc.anything({ withBigInt: true, withMap: true }), (path, value) => {
            checkJob(validateJob(replaceAtPath(sampleJob, path, value)));
        });
        fc.assert(property, { numRuns, seed });
    },
);

Then("parsing {int} texts drawn with seed {int} as manifests never throws", (numRuns: number, seed: number) => {
    const pieces = fc.constantFrom(
        "{",
        "}",
        "[",
        "]",
        "\"",
        ":",
        ",",
        "//",
        "/*",
        "*/",
        "\n",
        "1e9",
        "null",
        "a",
        "\\u",
    );
    const texts = fc.oneof(fc.string({ unit: "binary" }), fc.json(), fc.array(pieces).map(parts => parts.join("")));
    const property = fc.property(texts, text => {
        const result = loadManifest(text, "fuzz.jsonc");
        assert.ok(result.err);
        assert.ok(result.val.message.startsWith("fuzz.jsonc:"));
    });
    fc.assert(property, { numRuns, seed });
});

Then(
    "parsing {int} changed manifests drawn with seed {int} never throws and accepts only manifests",
    (numRuns: number, seed: number) => {
        const property = fc.property(fc.nat(manifestText.length), fc.nat(20), fc.string(), (start, length, insert) => {
            const text = manifestText.slice(0, start) + insert + manifestText.slice(start + length);
            const result = loadManifest(text, "fuzz.jsonc");
            assert.ok(result.err || validateManifest(result.val).ok);
        });
        fc.assert(property, { numRuns, seed });
    },
);
