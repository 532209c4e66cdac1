import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { interleavingArbitrary, type InterleavingEvent, runInterleaving } from "./interleaving.js";

let counterexample = "";

When(
    "{int} random interleavings run with seed {int}",
    { timeout: 300_000 },
    (numRuns: number, seed: number) => {
        counterexample = "";
        const property = fc.property(
            interleavingArbitrary,
            events => runInterleaving(seed, events).collectProblems().length === 0,
        );
        const details = fc.check(property, { seed, numRuns });
        const [events] = details.counterexample ?? [];
        if (events !== undefined) {
            const problems = runInterleaving(seed, events).collectProblems().slice(0, 4).join("\n  ");
            counterexample = `INTERLEAVING='${JSON.stringify({ seed, events })}'\n  ${problems}`;
        }
    },
);

When("the interleaving in the environment variable runs", () => {
    const serializedInterleaving = process.env["INTERLEAVING"];
    if (serializedInterleaving !== undefined) {
        const { seed, events } = JSON.parse(serializedInterleaving) as { seed: number; events: InterleavingEvent[] };
        const run = runInterleaving(seed, events);
        console.error(run.traceText);
        counterexample = run.collectProblems().join("\n");
    }
});

Then("no interleaving violates a rule", () => {
    assert.equal(counterexample, "");
});
